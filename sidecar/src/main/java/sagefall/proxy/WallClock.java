package sagefall.proxy;

import java.time.Instant;
import java.time.temporal.ChronoUnit;

/**
 * Provides Unix time in microseconds. The wall clock is read once, and the time is then advanced by
 * the monotonic clock. Therefore the times can be compared with start times from discovery and with
 * deadlines. A later step of the wall clock does not affect the times. Thread-safe.
 */
public final class WallClock {

    private static final long NANOS_PER_MICRO = 1000;

    private final long offsetNanos =
            ChronoUnit.NANOS.between(Instant.EPOCH, Instant.now()) - System.nanoTime();

    /** Returns the current Unix time in microseconds. */
    public long micros() {
        return (offsetNanos + System.nanoTime()) / NANOS_PER_MICRO;
    }
}
