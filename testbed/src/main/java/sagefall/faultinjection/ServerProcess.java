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

/**
 * A process that runs save servers: either one server, or all servers of a zone that no fault kills
 * individually.
 */
final class ServerProcess {

    private final RunContext context;
    private final RunMembers members;
    private final StandInCommands commands;
    private final String name;
    private final int zone;
    private final List<ServerMember> servers = new ArrayList<>();
    private StandInProcess child;
    private int starts;

    /**
     * Number of active faults that keep the process down. Written only on the event loop of the
     * run.
     */
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

    /**
     * Adds a server. The server runs after the next start of the process, or after {@link #serve}
     * is called.
     */
    void add(ServerMember server) {
        servers.add(server);
    }

    /**
     * Starts the process. The future completes once all servers of the process listen and the links
     * relay to them.
     */
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

    /**
     * Starts one server in the running process. The future completes once the links relay to the
     * server.
     */
    CompletableFuture<Void> serve(ServerMember server, boolean cold) {
        server.process(this);
        return child.send(commands.serve(server, cold))
                .thenAccept(
                        reply -> {
                            InetSocketAddress address =
                                    new InetSocketAddress(
                                            InetAddress.getLoopbackAddress(),
                                            reply.path("port").asInt());
                            server.links().forEach(link -> link.relay().target(address));
                            send(server.faultCommand());
                        });
    }

    /** Sends a command, unless the process was never started. */
    void send(ObjectNode command) {
        if (child != null) {
            child.send(command);
        }
    }

    /** Shuts down one of the servers. */
    void shutDown(ServerMember server) {
        send(StandInCommands.end(server.id()));
    }

    /**
     * Kills the process by SIGKILL.
     *
     * @param silently whether the addresses of the servers send no response afterwards; if false,
     *     they refuse connections
     */
    void kill(boolean silently) {
        if (activeKills.getAndIncrement() > 0) {
            return;
        }
        context.history().write(EntryKind.PROCESS, "name", name, "what", "kill");
        for (ServerMember server : running()) {
            server.markDown(silently);
            members.discovery().serverStopped(server.model());
        }
        // The process is killed after its links have changed. Therefore, in silent mode no sidecar
        // sees that its connections close.
        StandInProcess killed = child;
        context.tasks().changeLinks(() -> killed.process().destroyForcibly());
    }

    /**
     * Starts a new process with cold servers, unless another active fault keeps the process down.
     */
    void restart() {
        if (activeKills.decrementAndGet() > 0) {
            return;
        }
        context.tasks().runInBackground(this::startCold);
    }

    private void startCold() throws IOException {
        try {
            start(true).join();
        } catch (CompletionException e) {
            if (!isDown()) {
                throw e;
            }
            // Another fault has killed the process before the process was ready.
            return;
        }
        context.eventLoop().run(this::onRestarted);
    }

    private void onRestarted() {
        if (isDown()) {
            return;
        }
        for (ServerMember server : running()) {
            server.markUp();
            server.model().start();
            members.discovery().serverStarted(server.model());
        }
    }

    boolean isDown() {
        return activeKills.get() > 0;
    }

    /** Kills the process if it was started. */
    void destroy() {
        if (child != null) {
            child.process().destroyForcibly();
        }
    }
}
