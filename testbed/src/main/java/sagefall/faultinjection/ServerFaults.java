package sagefall.faultinjection;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import sagefall.emulator.StopTheWorldPauses;
import sagefall.faultinjection.history.EntryKind;
import sagefall.scenario.FaultMode;

/** Faults of save servers and of the processes that run them. */
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
    public boolean begin(ScheduledFault fault) {
        int zone = fault.fault().zone();
        boolean silent = fault.isMode(FaultMode.SILENT);
        double part = fault.drawn().fraction();
        double size = fault.size();
        switch (fault.fault().kind()) {
            case LOSE_ZONE ->
                    timeline.during(fault, on -> lose(members.processesOf(zone), silent, on));
            case FLAP_ZONE ->
                    timeline.inRounds(
                            fault, part, on -> lose(members.processesOf(zone), silent, on));
            case LOSE_SERVERS ->
                    timeline.during(fault, on -> lose(processes(fault.servers()), silent, on));
            case RESTART_WITH_NEW_IDS ->
                    timeline.during(fault, on -> reborn(fault.servers(), silent, on));
            case SLOW_SERVERS -> timeline.during(fault, on -> slowDown(fault.servers(), on, size));
            case SLOW_SHARED_DEPENDENCY ->
                    timeline.during(fault, on -> slowDown(members.servers(), on, size));
            case SERVER_ERRORS ->
                    timeline.during(
                            fault,
                            on ->
                                    fault.servers()
                                            .forEach(s -> s.addFault(1, on ? size : -size, 0)));
            case SERVER_PAUSES -> pauses(fault);
            case REPLACE_SERVERS -> replace(fault);
            case DRAIN_SERVERS -> timeline.during(fault, on -> drain(fault.servers(), on));
            case LOST_RESPONSES -> timeline.during(fault, on -> setAll("lost", on ? part : 0));
            case CONNECTION_RESETS -> timeline.during(fault, on -> setAll("resets", on ? part : 0));
            default -> {
                return false;
            }
        }
        return true;
    }

    private static List<ServerProcess> processes(List<ServerMember> servers) {
        return servers.stream().map(ServerMember::process).distinct().toList();
    }

    /** Kills processes, or lets them start. */
    void lose(List<ServerProcess> processes, boolean silent, boolean begins) {
        for (ServerProcess process : processes) {
            if (begins) {
                process.kill(silent);
            } else {
                process.restart();
            }
        }
    }

    /** Servers end, and come back with other ids at the same addresses. */
    private void reborn(List<ServerMember> servers, boolean silent, boolean begins)
            throws IOException, InterruptedException {
        if (begins) {
            lose(processes(servers), silent, true);
            return;
        }
        for (ServerMember server : servers) {
            server.retire();
            server.process().add(factory.replacement(server, MemberFactory.Placement.SAME_SLOT));
            server.process().restart();
        }
    }

    private static void slowDown(List<ServerMember> servers, boolean begins, double size) {
        servers.forEach(server -> server.addFault(begins ? size : 1 / size, 0, 0));
    }

    private void setAll(String figure, double value) {
        for (ServerMember server : members.servers()) {
            if (server.process() != null) {
                server.process().ask(server.setCommand().put(figure, value));
            }
        }
    }

    private void pauses(ScheduledFault fault) {
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
                pausesBy -> server.addFault(1, 0, pausesBy));
    }

    /** Servers are listed as draining and go on serving; they end when the fault does. */
    private void drain(List<ServerMember> servers, boolean begins) {
        for (ServerMember server : servers) {
            if (server.isRetired()) {
                continue;
            }
            if (begins) {
                members.discovery().serverDraining(server.model());
            } else {
                drainAndEnd(server);
            }
        }
    }

    /**
     * One server after another drains, with a new one in its place, and ends once all sidecars have
     * been notified and it is empty.
     */
    private void replace(ScheduledFault fault) {
        int count = fault.servers().size();
        Map<Integer, ServerMember> successors = new HashMap<>();
        for (int i = 0; i < count; i++) {
            ServerMember old = fault.servers().get(i);
            int number = i;
            double second =
                    fault.drawn().startSeconds() + fault.drawn().durationSeconds() * i / count;
            // Its links are made before, as that takes the thread of the model a while.
            context.tasks()
                    .runHere(
                            () ->
                                    successors.put(
                                            number,
                                            factory.replacement(
                                                    old, MemberFactory.Placement.NEW_SLOT)));
            timeline.queue()
                    .scheduleAt(
                            ScheduledFault.clockMicros(second),
                            () -> replace(fault, old, successors.get(number)));
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
                        fault.place(),
                        "what",
                        "replace",
                        "on",
                        true,
                        "servers",
                        List.of(old.slot()),
                        "sidecars",
                        List.of());
        ServerProcess host = members.processesOf(old.zone()).get(0);
        host.add(successor);
        host.serve(successor, true)
                .thenRun(() -> context.eventLoop().run(() -> started(successor)));
        members.discovery().serverDraining(old.model());
        long settledMicros =
                fault.isMode(FaultMode.EARLY) ? 0 : members.discovery().propagationMicros();
        timeline.queue().scheduleAfter(settledMicros, () -> drainAndEnd(old));
    }

    private void started(ServerMember server) {
        server.model().start();
        members.discovery().serverStarted(server.model());
    }

    /** Rejects new requests from now on, and ends once those in flight must be over. */
    private void drainAndEnd(ServerMember server) {
        server.process().ask(server.setCommand().put("drain", true));
        timeline.queue()
                .scheduleAfter(
                        context.requestClass().deadlineMicros(),
                        () -> {
                            server.retire();
                            server.process().end(server);
                            server.down(false);
                            members.discovery().serverStopped(server.model());
                        });
    }
}
