package sagefall.logging;

import java.util.concurrent.TimeUnit;

/** Limits a recurring log line to one a second. Not thread-safe. */
public final class LogRateLimit {

    private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private long lastLineNanos = System.nanoTime() - INTERVAL_NANOS;

    /** Returns whether a line may be written now. After true, the next second returns false. */
    public boolean tryAcquire() {
        long now = System.nanoTime();
        if (now - lastLineNanos < INTERVAL_NANOS) {
            return false;
        }
        lastLineNanos = now;
        return true;
    }
}
