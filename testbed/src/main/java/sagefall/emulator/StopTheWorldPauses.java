package sagefall.emulator;

import java.util.function.IntConsumer;
import org.apache.commons.rng.UniformRandomProvider;

/** Something that stands still for a while, every so often, until a time. */
public final class StopTheWorldPauses {

    private StopTheWorldPauses() {}

    /**
     * Begins them; all times in microseconds.
     *
     * @param change is given 1 where one begins and -1 where it ends
     */
    public static void schedule(
            EventQueue loop,
            UniformRandomProvider chances,
            long every,
            long micros,
            long until,
            IntConsumer change) {
        long next = loop.now() + (long) (every * (0.5 + chances.nextDouble()));
        if (micros <= 0 || next >= until) {
            return;
        }
        loop.scheduleAt(
                next,
                () -> {
                    change.accept(1);
                    loop.scheduleAfter(
                            micros,
                            () -> {
                                change.accept(-1);
                                schedule(loop, chances, every, micros, until, change);
                            });
                });
    }
}
