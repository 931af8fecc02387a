package sagefall.proxy;

/**
 * The latest deadline that a request may have. Every deadline passes {@link #apply}. There is no
 * limit until a shutdown sets one. Used on the event loop only.
 */
public final class DeadlineLimit {

    private long latestMicros = Long.MAX_VALUE;
    private int shortenedCount;

    /** Sets the latest deadline, in microseconds. */
    void set(long newLatestMicros) {
        latestMicros = newLatestMicros;
    }

    /** Returns the earlier of two times: the given deadline, and the latest deadline. */
    public long apply(long deadlineMicros) {
        if (deadlineMicros <= latestMicros) {
            return deadlineMicros;
        }
        shortenedCount++;
        return latestMicros;
    }

    /** Returns the number of deadlines that were later than the limit. */
    int shortenedCount() {
        return shortenedCount;
    }
}
