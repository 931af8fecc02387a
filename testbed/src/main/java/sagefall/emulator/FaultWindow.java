package sagefall.emulator;

import java.util.function.Consumer;
import sagefall.scenario.DrawnFault;
import sagefall.scenario.Fault;

/**
 * A fault with its times as those of the run's clock.
 *
 * @param drawn the fault
 * @param beginMicros when it begins
 * @param durationMicros how long it lasts
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

    /** The magnitude of a kind whose unit is a second, in microseconds. */
    long magnitudeMicros() {
        return micros(drawn.magnitude());
    }

    long periodMicros() {
        return micros(drawn.periodSeconds());
    }

    long endMicros() {
        return beginMicros + durationMicros;
    }

    /** Calls the change with true at the beginning of the fault and with false at its end. */
    void schedule(EventQueue events, Consumer<Boolean> change) {
        schedule(events, beginMicros, durationMicros, change);
    }

    /** The same for a part of the time. */
    static void schedule(
            EventQueue events, long beginMicros, long durationMicros, Consumer<Boolean> change) {
        events.scheduleAt(beginMicros, () -> change.accept(true));
        events.scheduleAt(beginMicros + durationMicros, () -> change.accept(false));
    }
}
