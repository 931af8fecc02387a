package sagefall.faultinjection;

import java.util.List;
import java.util.Locale;
import sagefall.emulator.EventQueue;
import sagefall.scenario.Fault;

/**
 * A fault with its figures and its members drawn.
 *
 * @param place its place in the scenario
 * @param drawn its figures
 * @param servers the servers that it concerns; empty if the kind does not draw servers
 * @param sidecars the sidecars that it concerns; empty if the kind does not draw sidecars
 */
record ScheduledFault(
        int place, Fault.Drawn drawn, List<ServerMember> servers, List<SidecarMember> sidecars) {

    private static final double MICROS_PER_SECOND = 1e6;

    Fault fault() {
        return drawn.fault();
    }

    /** The kind, as scenarios spell it. */
    String kindName() {
        return fault().kind().name().toLowerCase(Locale.ROOT);
    }

    boolean isKind(Fault.Kind kind) {
        return fault().kind() == kind;
    }

    /** Whether the word that the fault takes is this one. */
    boolean isHow(String how) {
        return fault().how().equals(how);
    }

    double size() {
        return drawn.size();
    }

    /** Its size, if that is a time in seconds. */
    long sizeMicros() {
        return (long) (MICROS_PER_SECOND * drawn.size());
    }

    /** When it ends, on the clock of the run. */
    long endMicros() {
        return clockMicros(drawn.from() + drawn.seconds());
    }

    List<Integer> serverSlots() {
        return servers.stream().map(ServerMember::slot).toList();
    }

    List<Integer> sidecarIndices() {
        return sidecars.stream().map(SidecarMember::index).toList();
    }

    /** A second of the run on the clock of its event loop. */
    static long clockMicros(double second) {
        return EventQueue.BEGIN + (long) (MICROS_PER_SECOND * second);
    }
}
