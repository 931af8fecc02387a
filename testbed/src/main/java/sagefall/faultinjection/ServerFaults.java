package sagefall.faultinjection;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import sagefall.emulator.StopTheWorldPauses;
import sagefall.faultinjection.history.EntryKind;
import sagefall.scenario.FaultMode;

/** Injects faults of save servers and of their processes. */
final class ServerFaults implements FaultInjector.FaultGroup {

    private static final double MICROS_PER_SECOND = 1e6;
    private static final double MICROS_PER_MILLI = 1000;

    private final RunContext context;
    private final RunMembers members;
    private final MemberFactory factory;
    private final FaultTimeline timeline;

    ServerFaults(
            RunContext context, RunMembers members, MemberFactory factory, FaultTimeline timeline) {
        this.context = context;
        this.members = members;
        this.factory = factory;
        this.timeline = timeline;
    }

    @Override
    public boolean schedule(ScheduledFault fault) {
        int zone = fault.fault().zone();
        boolean silent = fault.isMode(FaultMode.SILENT);
        double fraction = fault.drawn().fraction();
        double size = fault.size();
        switch (fault.fault().kind()) {
            case LOSE_ZONE ->
                    timeline.during(
                            fault, on -> killOrRestart(members.processesOf(zone), silent, on));
            case FLAP_ZONE ->
                    timeline.periodically(
                            fault,
                            fraction,
                            on -> killOrRestart(members.processesOf(zone), silent, on));
            case LOSE_SERVERS ->
                    timeline.during(
                            fault, on -> killOrRestart(processes(fault.servers()), silent, on));
            case RESTART_WITH_NEW_IDS ->
                    timeline.during(fault, on -> restartWithNewIds(fault.servers(), silent, on));
            case SLOW_SERVERS -> timeline.during(fault, on -> slowDown(fault.servers(), on, size));
            case SLOW_SHARED_DEPENDENCY ->
                    timeline.during(fault, on -> slowDown(members.servers(), on, size));
            case SERVER_ERRORS ->
                    timeline.during(
                            fault,
                            on ->
                                    fault.servers()
                                            .forEach(s -> s.changeFaults(1, on ? size : -size, 0)));
            case SERVER_PAUSES -> schedulePauses(fault);
            case REPLACE_SERVERS -> scheduleReplacements(fault);
            case DRAIN_SERVERS -> timeline.during(fault, on -> drain(fault.servers(), on));
            case LOST_RESPONSES ->
                    timeline.during(fault, on -> setOnAllServers("lost", on ? fraction : 0));
            case CONNECTION_RESETS ->
                    timeline.during(fault, on -> setOnAllServers("resets", on ? fraction : 0));
            default -> {
                return false;
            }
        }
        return true;
    }

    private static List<ServerProcess> processes(List<ServerMember> servers) {
        return servers.stream().map(ServerMember::process).distinct().toList();
    }

    /** Kills processes when a fault begins, and restarts them when the fault ends. */
    void killOrRestart(List<ServerProcess> processes, boolean silent, boolean begins) {
        for (ServerProcess process : processes) {
            if (begins) {
                process.kill(silent);
            } else {
                process.restart();
            }
        }
    }

    /**
     * Kills servers when a fault begins. When the fault ends, starts servers with new ids at the
     * addresses of the killed servers.
     */
    private void restartWithNewIds(List<ServerMember> servers, boolean silent, boolean begins)
            throws IOException, InterruptedException {
        if (begins) {
            killOrRestart(processes(servers), silent, true);
            return;
        }
        for (ServerMember server : servers) {
            server.retire();
            server.process()
                    .add(factory.createReplacement(server, MemberFactory.Placement.SAME_SLOT));
            server.process().restart();
        }
    }

    private static void slowDown(List<ServerMember> servers, boolean begins, double size) {
        servers.forEach(server -> server.changeFaults(begins ? size : 1 / size, 0, 0));
    }

    /**
     * Sets the value of a fault on all servers.
     *
     * @param faultName name of the command field that sets the fault
     */
    private void setOnAllServers(String faultName, double value) {
        for (ServerMember server : members.servers()) {
            if (server.process() != null) {
                server.process().send(server.faultCommand().put(faultName, value));
            }
        }
    }

    private void schedulePauses(ScheduledFault fault) {
        timeline.during(
                fault,
                on -> {
                    if (on) {
                        fault.servers().forEach(server -> beginPauses(fault, server));
                    }
                });
    }

    private void beginPauses(ScheduledFault fault, ServerMember server) {
        UniformRandomProvider random = fault.drawn().random();
        StopTheWorldPauses.schedule(
                timeline.queue(),
                random,
                (long) (MICROS_PER_SECOND * fault.drawn().periodSeconds()),
                (long) (MICROS_PER_MILLI * fault.size()),
                fault.endMicros(),
                pausesChange -> server.changeFaults(1, 0, pausesChange));
    }

    /**
     * When the fault begins, reports servers to discovery as draining, but lets the servers accept
     * requests. When the fault ends, calls {@link #drainAndStop} for each server.
     */
    private void drain(List<ServerMember> servers, boolean begins) {
        for (ServerMember server : servers) {
            if (server.isRetired()) {
                continue;
            }
            if (begins) {
                members.discovery().serverDraining(server.model());
            } else {
                drainAndStop(server);
            }
        }
    }

    /**
     * Schedules the replacement of servers one after another over the duration of the fault. To
     * replace a server, the run starts a new server and reports the old server to discovery as
     * draining. The old server accepts requests until discovery should have notified all sidecars.
     * In mode {@link FaultMode#EARLY}, the old server rejects requests immediately. {@link
     * #drainAndStop} describes when the old server stops.
     */
    private void scheduleReplacements(ScheduledFault fault) {
        int count = fault.servers().size();
        Map<Integer, ServerMember> successors = new HashMap<>();
        for (int i = 0; i < count; i++) {
            ServerMember old = fault.servers().get(i);
            int index = i;
            double second =
                    fault.drawn().startSeconds() + fault.drawn().durationSeconds() * i / count;
            // The replacements are created now, before the load begins, because creating their
            // links blocks the event loop.
            context.tasks()
                    .runStep(
                            () ->
                                    successors.put(
                                            index,
                                            factory.createReplacement(
                                                    old, MemberFactory.Placement.NEW_SLOT)));
            timeline.queue()
                    .scheduleAt(
                            ScheduledFault.clockMicros(second),
                            () -> replace(fault, old, successors.get(index)));
        }
    }

    private void replace(ScheduledFault fault, ServerMember old, ServerMember successor) {
        if (old.isRetired() || old.process().isDown()) {
            return;
        }
        context.history()
                .write(
                        EntryKind.FAULT,
                        "place",
                        fault.index(),
                        "what",
                        "replace",
                        "on",
                        true,
                        "servers",
                        List.of(old.slot()),
                        "sidecars",
                        List.of());
        ServerProcess process = members.processesOf(old.zone()).get(0);
        process.add(successor);
        process.serve(successor, true)
                .thenRun(() -> context.eventLoop().run(() -> onStarted(successor)));
        members.discovery().serverDraining(old.model());
        long drainDelayMicros =
                fault.isMode(FaultMode.EARLY) ? 0 : members.discovery().propagationMicros();
        timeline.queue().scheduleAfter(drainDelayMicros, () -> drainAndStop(old));
    }

    private void onStarted(ServerMember server) {
        server.model().start();
        members.discovery().serverStarted(server.model());
    }

    /**
     * Makes a server reject new requests, and stops the server one request deadline later. By then,
     * all requests that the server had accepted must have ended.
     */
    private void drainAndStop(ServerMember server) {
        server.process().send(server.faultCommand().put("drain", true));
        timeline.queue()
                .scheduleAfter(
                        context.requestClass().deadlineMicros(),
                        () -> {
                            server.retire();
                            server.process().shutDown(server);
                            server.markDown(false);
                            members.discovery().serverStopped(server.model());
                        });
    }
}
