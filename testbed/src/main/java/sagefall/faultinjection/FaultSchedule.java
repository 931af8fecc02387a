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
 * The faults of a run. Their parameters, and the servers and sidecars that they affect, have been
 * drawn at random. The plan and its seed determine every byte of the lines of a schedule. Omitting
 * a fault does not change the lines of the other faults.
 */
final class FaultSchedule {

    /** Numbers in a line are rounded to multiples of 1 divided by this constant. */
    private static final double ROUNDING_STEPS_PER_UNIT = 1000;

    private final List<ScheduledFault> faults = new ArrayList<>();

    /**
     * Draws the parameters of the selected faults, and the sidecars and servers that they affect.
     *
     * @param members sidecars and initial servers from which the affected ones are drawn
     * @param indices indices of the selected faults in the scenario
     */
    FaultSchedule(RunContext context, RunMembers members, List<Integer> indices) {
        for (int index : indices) {
            faults.add(draw(context, members, index));
        }
    }

    private static ScheduledFault draw(RunContext context, RunMembers members, int index) {
        Fault fault = context.scenario().faults().get(index);
        DrawnFault drawn =
                fault.draw(
                        context.randomStreams().stream("fault." + index),
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
                            index,
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
                            index,
                            drawn,
                            List.of(),
                            List.copyOf(drawn.pickFraction(eligibleSidecars(members, fault))));
            default -> new ScheduledFault(index, drawn, List.of(), List.of());
        };
    }

    /**
     * Returns the sidecars from which the affected ones are drawn. If a kill of sidecars or a power
     * loss is limited to a zone, returns the sidecars of that zone. Otherwise returns all sidecars.
     */
    private static List<SidecarMember> eligibleSidecars(RunMembers members, Fault fault) {
        boolean limitableToZone =
                fault.kind() == FaultKind.KILL_SIDECARS || fault.kind() == FaultKind.POWER_LOSS;
        if (!limitableToZone || fault.zone() < 0) {
            return members.sidecars();
        }
        return members.sidecars().stream()
                .filter(sidecar -> sidecar.zone() == fault.zone())
                .toList();
    }

    List<ScheduledFault> faults() {
        return faults;
    }

    /**
     * Returns the servers that a fault kills individually. Each of them needs a process of its own.
     */
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

    /** Returns the schedule as lines of JSON, with one object per fault. */
    List<String> lines() {
        return faults.stream().map(FaultSchedule::line).toList();
    }

    private static String line(ScheduledFault scheduled) {
        Fault fault = scheduled.fault();
        DrawnFault drawn = scheduled.drawn();
        ObjectNode line =
                JsonLines.MAPPER
                        .createObjectNode()
                        .put("fault", scheduled.index())
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
        return Math.rint(value * ROUNDING_STEPS_PER_UNIT) / ROUNDING_STEPS_PER_UNIT;
    }

    /**
     * Returns the time in microseconds, on the clock of the run, at which the last fault ends.
     * Returns 0 without faults.
     */
    long endMicros() {
        return faults.stream()
                .mapToLong(fault -> ScheduledFault.clockMicros(fault.drawn().endSeconds()))
                .max()
                .orElse(0);
    }
}
