package sagefall.streaming;

/**
 * The bytes that all streams of this process have buffered together, and their peak: the figure
 * that {@code max_buffered_bytes} of the section {@code streaming} is to be chosen by. To be used
 * on the event loop only.
 */
public final class BufferAccounting {

    private long reservedBytes;
    private long peakBytes;

    /** Reserves so many bytes, or frees them where the number is negative. */
    void add(long bytes) {
        reservedBytes += bytes;
        peakBytes = Math.max(peakBytes, reservedBytes);
    }

    /** Bytes that are buffered now. */
    public long reservedBytes() {
        return reservedBytes;
    }

    /** The largest number of bytes that have been buffered at once. */
    public long peakBytes() {
        return peakBytes;
    }
}
