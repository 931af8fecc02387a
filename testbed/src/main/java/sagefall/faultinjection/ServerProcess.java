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
import sagefall.faultinjection.history.EntryKind;
import sagefall.faultinjection.process.StandInProcess;

/** A process with one save server in it, or with those of a zone that only ever end together. */
final class ServerProcess {

    private final RunContext context;
    private final RunMembers members;
    private final StandInCommands commands;
    private final String name;
    private final int zone;
    private final List<ServerMember> servers = new ArrayList<>();
    private StandInProcess child;
    private int starts;

    /** Faults that keep it down. Written on the event loop of the run alone. */
    private final AtomicInteger activeKills = new AtomicInteger();

    ServerProcess(
            RunContext context,
            RunMembers members,
            StandInCommands commands,
            String name,
            int zone) {
        this.context = context;
        this.members = members;
        this.commands = commands;
        this.name = name;
        this.zone = zone;
    }

    int zone() {
        return zone;
    }

    /** Places a server in it, to be run from its next start on, or by {@link #serve}. */
    void add(ServerMember server) {
        servers.add(server);
    }

    /** Starts it; done once all its servers listen and the links lead to them. */
    CompletableFuture<Void> start(boolean cold) throws IOException {
        child = context.startStandIn(name + "-" + ++starts);
        context.history()
                .write(
                        EntryKind.PROCESS,
                        "name",
                        name,
                        "what",
                        "start",
                        "pid",
                        child.process().pid());
        List<Long> ids = servers.stream().map(ServerMember::id).toList();
        context.history().write(EntryKind.HOST, "name", name, "servers", ids);
        CompletableFuture<?>[] served =
                running().stream()
                        .map(server -> serve(server, cold))
                        .toArray(CompletableFuture<?>[]::new);
        return CompletableFuture.allOf(served);
    }

    private List<ServerMember> running() {
        return servers.stream().filter(server -> !server.isRetired()).toList();
    }

    /** Runs one server in the process that there is; done once the links lead to it. */
    CompletableFuture<Void> serve(ServerMember server, boolean cold) {
        server.process(this);
        return child.ask(commands.serve(server, cold))
                .thenAccept(
                        answer -> {
                            InetSocketAddress at =
                                    new InetSocketAddress(
                                            InetAddress.getLoopbackAddress(),
                                            answer.path("port").asInt());
                            server.links().forEach(link -> link.relay().target(at));
                            ask(server.setCommand());
                        });
    }

    /** Sends a command, if it was ever started. */
    void ask(ObjectNode command) {
        if (child != null) {
            child.ask(command);
        }
    }

    /** Ends one of its servers as planned. */
    void end(ServerMember server) {
        ask(StandInCommands.end(server.id()));
    }

    /** SIGKILL; its addresses refuse connections from now on, or are silent. */
    void kill(boolean silently) {
        if (activeKills.getAndIncrement() > 0) {
            return;
        }
        context.history().write(EntryKind.PROCESS, "name", name, "what", "kill");
        for (ServerMember server : running()) {
            server.down(silently);
            members.discovery().serverStopped(server.model());
        }
        StandInProcess killed = child;
        context.tasks().changeLinks(() -> killed.process().destroyForcibly());
    }

    /** A new process, cold, once no fault keeps it down. */
    void restart() {
        if (activeKills.decrementAndGet() > 0) {
            return;
        }
        context.tasks().runAside(this::startCold);
    }

    private void startCold() throws IOException {
        try {
            start(true).join();
        } catch (CompletionException e) {
            if (!isDown()) {
                throw e;
            }
            return;
        }
        context.eventLoop().run(this::restarted);
    }

    private void restarted() {
        if (isDown()) {
            return;
        }
        for (ServerMember server : running()) {
            server.up();
            server.model().start();
            members.discovery().serverStarted(server.model());
        }
    }

    boolean isDown() {
        return activeKills.get() > 0;
    }

    /** Kills it, whatever state it is in. */
    void stop() {
        if (child != null) {
            child.process().destroyForcibly();
        }
    }
}
