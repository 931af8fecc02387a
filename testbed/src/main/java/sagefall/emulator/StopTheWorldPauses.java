package sagefall.emulator;

import java.util.function.IntConsumer;
import org.apache.commons.rng.UniformRandomProvider;

/** Schedules pauses of a process at random intervals, for example those of a garbage collector. */
public final class StopTheWorldPauses {

    private StopTheWorldPauses() {}

    /**
     * Schedules the next pause and, after its end, all further pauses.
     *
     * @param intervalMicros mean time from the end of one pause to the start of the next
     * @param pauseMicros duration of a pause; 0 for no pauses
     * @param untilMicros exclusive upper bound of the time at which a pause begins
     * @param change function that is called with 1 when a pause begins and with -1 when the pause
     *     ends
     */
    public static void schedule(
            EventQueue events,
            UniformRandomProvider random,
            long intervalMicros,
            long pauseMicros,
            long untilMicros,
            IntConsumer change) {
        long nextMicros = events.now() + (long) (intervalMicros * (0.5 + random.nextDouble()));
        if (pauseMicros <= 0 || nextMicros >= untilMicros) {
            return;
        }
        Runnable end =
                () -> {
                    change.accept(-1);
                    schedule(events, random, intervalMicros, pauseMicros, untilMicros, change);
                };
        events.scheduleAt(
                nextMicros,
                () -> {
                    change.accept(1);
                    events.scheduleAfter(pauseMicros, end);
                });
    }
}
