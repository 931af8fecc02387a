package sagefall.faultinjection;

import java.util.List;
import sagefall.emulator.EventQueue;
import sagefall.scenario.DrawnFault;
import sagefall.scenario.Fault;
import sagefall.scenario.FaultKind;
import sagefall.scenario.FaultMode;

/**
 * A fault with its figures and its members drawn.
 *
 * @param place its place in the scenario
 * @param drawn its figures
 * @param servers the servers that it concerns; empty if the kind does not draw servers
 * @param sidecars the sidecars that it concerns; empty if the kind does not draw sidecars
 */
record ScheduledFault(
        int place, DrawnFault drawn, List<ServerMember> servers, List<SidecarMember> sidecars) {

    private static final double MICROS_PER_SECOND = 1e6;

    Fault fault() {
        return drawn.fault();
    }

    /** The kind, as scenarios spell it. */
    String kindName() {
        return fault().kind().label();
    }

    boolean isKind(FaultKind kind) {
        return fault().kind() == kind;
    }

    /** Whether the fault is of this variant of its kind. */
    boolean isMode(FaultMode mode) {
        return fault().mode() == mode;
    }

    double size() {
        return drawn.magnitude();
    }

    /** Its size, if that is a time in seconds. */
    long sizeMicros() {
        return (long) (MICROS_PER_SECOND * drawn.magnitude());
    }

    /** When it ends, on the clock of the run. */
    long endMicros() {
        return clockMicros(drawn.startSeconds() + drawn.durationSeconds());
    }

    List<Integer> serverSlots() {
        return servers.stream().map(ServerMember::slot).toList();
    }

    List<Integer> sidecarIndices() {
        return sidecars.stream().map(SidecarMember::index).toList();
    }

    /** A second of the run on the clock of its event loop. */
    static long clockMicros(double second) {
        return EventQueue.START_MICROS + (long) (MICROS_PER_SECOND * second);
    }
}
