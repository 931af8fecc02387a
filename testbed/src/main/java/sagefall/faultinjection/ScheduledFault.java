package sagefall.faultinjection;

import java.util.List;
import sagefall.emulator.EventQueue;
import sagefall.scenario.DrawnFault;
import sagefall.scenario.Fault;
import sagefall.scenario.FaultKind;
import sagefall.scenario.FaultMode;

/**
 * A fault of a run. Its parameters, and the servers and sidecars that it affects, have been drawn
 * at random.
 *
 * @param index index of the fault in the scenario
 * @param drawn fault of the scenario and its drawn parameters
 * @param servers affected servers; empty if the fault kind draws no servers
 * @param sidecars affected sidecars; empty if the fault kind draws no sidecars
 */
record ScheduledFault(
        int index, DrawnFault drawn, List<ServerMember> servers, List<SidecarMember> sidecars) {

    private static final double MICROS_PER_SECOND = 1e6;

    Fault fault() {
        return drawn.fault();
    }

    /** Returns the name that the fault kind has in scenario files. */
    String kindName() {
        return fault().kind().label();
    }

    boolean isKind(FaultKind kind) {
        return fault().kind() == kind;
    }

    /** Returns whether the fault has the given mode. */
    boolean isMode(FaultMode mode) {
        return fault().mode() == mode;
    }

    double size() {
        return drawn.magnitude();
    }

    /**
     * Returns the size converted from seconds to microseconds. Only for fault kinds whose size is a
     * duration.
     */
    long sizeMicros() {
        return (long) (MICROS_PER_SECOND * drawn.magnitude());
    }

    /** Returns the time in microseconds, on the clock of the run, at which the fault ends. */
    long endMicros() {
        return clockMicros(drawn.startSeconds() + drawn.durationSeconds());
    }

    List<Integer> serverSlots() {
        return servers.stream().map(ServerMember::slot).toList();
    }

    List<Integer> sidecarIndices() {
        return sidecars.stream().map(SidecarMember::index).toList();
    }

    /** Converts seconds since the start of the run to microseconds on the clock of the run. */
    static long clockMicros(double second) {
        return EventQueue.START_MICROS + (long) (MICROS_PER_SECOND * second);
    }
}
