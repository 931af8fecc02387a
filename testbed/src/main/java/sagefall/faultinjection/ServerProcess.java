package sagefall.faultinjection;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicInteger;

/** A process with one save server in it, or with those of a zone that only ever end together. */
final class ServerProcess {

    private final FaultInjectionRun rig;
    private final String name;
    final int zone;
    final List<ServerMember> members = new ArrayList<>();
    private StandInProcess child;
    private int life;

    /** Written by the thread of the model alone. */
    private final AtomicInteger downs = new AtomicInteger();

    ServerProcess(FaultInjectionRun rig, String name, int zone) {
        this.rig = rig;
        this.name = name;
        this.zone = zone;
    }

    /** Starts it; done once all its servers listen and the ways lead to them. */
    CompletableFuture<Void> start(boolean cold) throws IOException {
        child = rig.child(name + "-" + ++life);
        rig.history.line("process", "name", name, "what", "start", "pid", child.process().pid());
        rig.history.line(
                "host", "name", name, "servers", members.stream().map(ServerMember::id).toList());
        List<CompletableFuture<?>> all = new ArrayList<>();
        members.stream().filter(m -> !m.gone).forEach(m -> all.add(serve(m, cold)));
        return CompletableFuture.allOf(all.toArray(new CompletableFuture<?>[0]));
    }

    /** Has it serve one more. */
    CompletableFuture<Void> serve(ServerMember m, boolean cold) {
        m.process = this;
        ObjectNode command = rig.serving(m).put("cold", cold);
        return child.ask(command)
                .thenAccept(
                        answer -> {
                            InetSocketAddress at =
                                    new InetSocketAddress(
                                            InetAddress.getLoopbackAddress(),
                                            answer.path("port").asInt());
                            m.ways.forEach(w -> w.link.target(at));
                            ask(m.state());
                        });
    }

    void ask(ObjectNode command) {
        if (child != null) {
            child.ask(command);
        }
    }

    /** A planned end of one of its servers. */
    void end(ServerMember m) {
        ask(EventHistory.JSON.createObjectNode().put("do", "end").put("id", m.id()));
    }

    /** SIGKILL, with how its address answers from now on. */
    void kill(boolean silently) {
        if (downs.getAndIncrement() > 0) {
            return;
        }
        rig.history.line("process", "name", name, "what", "kill");
        for (ServerMember m : members) {
            if (!m.gone) {
                m.down(silently);
                rig.discovery().serverStopped(m.mirror);
            }
        }
        StandInProcess killed = child;
        rig.change(() -> killed.process().destroyForcibly());
    }

    /** A new process, cold. */
    void again() {
        if (downs.decrementAndGet() > 0) {
            return;
        }
        rig.aside(
                () -> {
                    try {
                        start(true).join();
                    } catch (CompletionException e) {
                        if (!down()) {
                            throw e;
                        }
                        return null;
                    }
                    rig.pace.run(this::returned);
                    return null;
                });
    }

    private void returned() {
        if (downs.get() > 0) {
            return;
        }
        for (ServerMember m : members) {
            if (!m.gone) {
                m.up();
                m.mirror.start();
                rig.discovery().serverStarted(m.mirror);
            }
        }
    }

    boolean down() {
        return downs.get() > 0;
    }

    void stop() {
        if (child != null) {
            child.process().destroyForcibly();
        }
    }
}
