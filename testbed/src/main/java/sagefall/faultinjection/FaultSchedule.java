package sagefall.faultinjection;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import sagefall.faultinjection.history.JsonLines;
import sagefall.scenario.DrawnFault;
import sagefall.scenario.Fault;
import sagefall.scenario.FaultKind;

/**
 * The faults of a run, with all figures and members drawn: the same seed gives the same lines to
 * the byte, and leaving one fault out changes no other.
 */
final class FaultSchedule {

    private static final double LINE_PRECISION = 1000;

    private final List<ScheduledFault> faults = new ArrayList<>();

    /**
     * Draws the faults at these places of the scenario.
     *
     * @param members the sidecars and the initial servers to draw from
     */
    FaultSchedule(RunContext context, RunMembers members, List<Integer> places) {
        for (int place : places) {
            faults.add(draw(context, members, place));
        }
    }

    private static ScheduledFault draw(RunContext context, RunMembers members, int place) {
        Fault fault = context.scenario().faults().get(place);
        DrawnFault drawn =
                fault.draw(
                        context.randomStreams().stream("fault." + place),
                        context.scenario().seconds());
        return switch (fault.kind()) {
            case LOSE_SERVERS,
                    SLOW_SERVERS,
                    SERVER_ERRORS,
                    SERVER_PAUSES,
                    REPLACE_SERVERS,
                    RESTART_WITH_NEW_IDS,
                    DRAIN_SERVERS ->
                    new ScheduledFault(
                            place,
                            drawn,
                            List.copyOf(drawn.pickFraction(members.initialServers())),
                            List.of());
            case KILL_SIDECARS,
                    RESTART_SIDECARS,
                    SUPPRESSED_UPDATES,
                    STOP_SIDECARS,
                    SLOW_SIDECARS,
                    CUT_SIDECARS,
                    FLAP_LINKS,
                    DELAY_LINKS,
                    CUT_BYTES,
                    POWER_LOSS,
                    WRONG_CLOCK ->
                    new ScheduledFault(
                            place,
                            drawn,
                            List.of(),
                            List.copyOf(drawn.pickFraction(candidates(members, fault))));
            default -> new ScheduledFault(place, drawn, List.of(), List.of());
        };
    }

    /** The sidecars that a fault is drawn from: those of its zone, if it takes out machines. */
    private static List<SidecarMember> candidates(RunMembers members, Fault fault) {
        boolean zonal =
                fault.kind() == FaultKind.KILL_SIDECARS || fault.kind() == FaultKind.POWER_LOSS;
        if (!zonal || fault.zone() < 0) {
            return members.sidecars();
        }
        return members.sidecars().stream()
                .filter(sidecar -> sidecar.zone() == fault.zone())
                .toList();
    }

    List<ScheduledFault> faults() {
        return faults;
    }

    /** Servers that end on their own, and so need a process of their own. */
    Set<ServerMember> serversWithOwnProcess() {
        Set<ServerMember> servers = new HashSet<>();
        for (ScheduledFault fault : faults) {
            if (fault.isKind(FaultKind.LOSE_SERVERS)
                    || fault.isKind(FaultKind.RESTART_WITH_NEW_IDS)) {
                servers.addAll(fault.servers());
            }
        }
        return servers;
    }

    /** One JSON object for each fault. */
    List<String> lines() {
        return faults.stream().map(FaultSchedule::line).toList();
    }

    private static String line(ScheduledFault scheduled) {
        Fault fault = scheduled.fault();
        DrawnFault drawn = scheduled.drawn();
        ObjectNode line =
                JsonLines.MAPPER
                        .createObjectNode()
                        .put("fault", scheduled.place())
                        .put("kind", scheduled.kindName())
                        .put("at_s", round(drawn.startSeconds()))
                        .put("for_s", round(drawn.durationSeconds()))
                        .put("zone", fault.zone())
                        .put("tenant", fault.tenant())
                        .put("part", round(drawn.fraction()))
                        .put("size", round(drawn.magnitude()))
                        .put("every_s", round(drawn.periodSeconds()))
                        .put("how", fault.mode().label());
        line.set("servers", JsonLines.MAPPER.valueToTree(scheduled.serverSlots()));
        line.set("sidecars", JsonLines.MAPPER.valueToTree(scheduled.sidecarIndices()));
        return line.toString();
    }

    private static double round(double value) {
        return Math.rint(value * LINE_PRECISION) / LINE_PRECISION;
    }

    /** When the last of them has ended, on the clock of the run. */
    long endMicros() {
        return faults.stream()
                .mapToLong(fault -> ScheduledFault.clockMicros(fault.drawn().endSeconds()))
                .max()
                .orElse(0);
    }
}
