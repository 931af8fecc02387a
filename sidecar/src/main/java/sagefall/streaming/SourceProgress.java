package sagefall.streaming;

import java.util.concurrent.TimeUnit;

/**
 * Measures whether the source of a stream makes progress. A source that sends single bytes is as
 * slow as one that has stopped. Used on the event loop only.
 */
final class SourceProgress {

    /** Bytes that count as progress; a source may send them in any number of parts. */
    private static final int PROGRESS_BYTES = 1_024;

    /** Bytes that have been received since {@link #sinceNanos}. */
    private int receivedBytes;

    /** Time of the last progress, on the clock of {@link System#nanoTime()}. */
    private long sinceNanos = System.nanoTime();

    /** Restarts the measurement, because the source was not read until now. */
    void restart() {
        receivedBytes = 0;
        sinceNanos = System.nanoTime();
    }

    /** Records that bytes have been received from the source. */
    void bytesReceived(int count) {
        receivedBytes += count;
        if (receivedBytes >= PROGRESS_BYTES) {
            restart();
        }
    }

    /** Returns the milliseconds since the source last made progress. */
    long millisWithoutProgress() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNanos);
    }
}
