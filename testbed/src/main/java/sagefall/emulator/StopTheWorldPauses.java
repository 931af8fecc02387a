package sagefall.emulator;

import java.util.function.IntConsumer;
import org.apache.commons.rng.UniformRandomProvider;

/** Pauses of a process, as of a garbage collector, at random intervals until a given time. */
public final class StopTheWorldPauses {

    private StopTheWorldPauses() {}

    /**
     * Schedules the pauses; all times in microseconds.
     *
     * @param intervalMicros mean time from the end of one pause to the next
     * @param pauseMicros length of a pause; none where it is 0
     * @param untilMicros no pause begins later
     * @param change is given 1 where a pause begins and -1 where it ends
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
