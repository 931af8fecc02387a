package sagefall.streaming;

/**
 * Counts the bytes that all streams of this process have buffered, and records the peak of this
 * count. The peak helps to choose {@code max_buffered_bytes} in the section {@code streaming} of
 * the extensions file. Used on the event loop only.
 */
public final class BufferAccounting {

    private long bufferedBytes;
    private long peakBytes;

    /** Adds the given number of bytes to the count. A negative number reduces the count. */
    void add(long bytes) {
        bufferedBytes += bytes;
        peakBytes = Math.max(peakBytes, bufferedBytes);
    }

    /** Returns the number of bytes that are buffered now. */
    public long bufferedBytes() {
        return bufferedBytes;
    }

    /** Returns the largest number of bytes that have been buffered at once. */
    public long peakBytes() {
        return peakBytes;
    }
}
