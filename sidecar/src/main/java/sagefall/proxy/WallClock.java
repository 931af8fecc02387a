package sagefall.proxy;

import java.time.Instant;
import java.time.temporal.ChronoUnit;

/**
 * Unix time in microseconds, read from the wall clock once and carried on by the monotonic one:
 * start times from discovery and deadlines can be compared with it, and a step of the wall clock
 * moves neither.
 */
public final class WallClock {

    private final long offsetNanos =
            ChronoUnit.NANOS.between(Instant.EPOCH, Instant.now()) - System.nanoTime();

    public long micros() {
        return (offsetNanos + System.nanoTime()) / 1000;
    }
}
