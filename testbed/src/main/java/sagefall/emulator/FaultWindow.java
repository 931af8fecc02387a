package sagefall.emulator;

import java.util.function.Consumer;
import sagefall.scenario.DrawnFault;
import sagefall.scenario.Fault;

/**
 * A drawn fault with its start and duration on the virtual clock of the run.
 *
 * @param drawn the fault with its drawn values
 * @param beginMicros time at which the fault begins
 * @param durationMicros duration of the fault
 */
record FaultWindow(DrawnFault drawn, long beginMicros, long durationMicros) {

    static FaultWindow of(DrawnFault drawn) {
        return new FaultWindow(
                drawn,
                EventQueue.START_MICROS + micros(drawn.startSeconds()),
                micros(drawn.durationSeconds()));
    }

    private static long micros(double seconds) {
        return (long) (1e6 * seconds);
    }

    Fault fault() {
        return drawn.fault();
    }

    double fraction() {
        return drawn.fraction();
    }

    double magnitude() {
        return drawn.magnitude();
    }

    /** Returns the magnitude in microseconds. The magnitude of the fault must be in seconds. */
    long magnitudeMicros() {
        return micros(drawn.magnitude());
    }

    long periodMicros() {
        return micros(drawn.periodSeconds());
    }

    long endMicros() {
        return beginMicros + durationMicros;
    }

    /**
     * Schedules two calls of {@code change}: with true at the start of the fault and with false at
     * its end.
     */
    void schedule(EventQueue events, Consumer<Boolean> change) {
        schedule(events, beginMicros, durationMicros, change);
    }

    /**
     * Schedules two calls of {@code change}: with true at the given start and with false after the
     * given duration.
     */
    static void schedule(
            EventQueue events, long beginMicros, long durationMicros, Consumer<Boolean> change) {
        events.scheduleAt(beginMicros, () -> change.accept(true));
        events.scheduleAt(beginMicros + durationMicros, () -> change.accept(false));
    }
}
