package sagefall.proxy;

import java.time.Instant;
import java.time.temporal.ChronoUnit;

/**
 * Unix time in microseconds, read from the wall clock once and carried on by the monotonic clock:
 * start times from discovery and deadlines can be compared with it, and a step of the wall clock
 * moves neither. Safe for any thread.
 */
public final class WallClock {

    private static final long NANOS_PER_MICRO = 1000;

    private final long offsetNanos =
            ChronoUnit.NANOS.between(Instant.EPOCH, Instant.now()) - System.nanoTime();

    /** Now, in microseconds of Unix time. */
    public long micros() {
        return (offsetNanos + System.nanoTime()) / NANOS_PER_MICRO;
    }
}
