package sagefall.streaming;

import io.netty.buffer.ByteBuf;
import java.util.concurrent.TimeUnit;

/**
 * Applies back-pressure to one direction of a stream. Counts the bytes that have been received from
 * the source and not yet been written to the sink. At the high watermark, the source is paused
 * until the count has dropped to the low watermark. Thus a slow sink slows the source down, and the
 * buffered bytes are bounded for bodies of any length. Used on the event loop only.
 */
public final class FlowControl {

    /** The side of a stream from which the bytes are received. */
    public interface Source {
        /** Resumes reading from the source, or pauses it. */
        void setReading(boolean reading);
    }

    /** Whether the source is being read, and the reason if it is not. */
    private enum State {
        /** The source is being read. */
        READING,

        /** The high watermark was reached, and the count is still above the low watermark. */
        PAUSED_BY_WATERMARK,

        /** There is no sink. The source is paused regardless of the count. */
        PAUSED_WITHOUT_SINK,

        /** The source has sent everything and is neither paused nor resumed any more. */
        FINISHED
    }

    /**
     * Overhead that is counted for each part in addition to its bytes. With this overhead, the
     * watermarks also limit the number of buffers if a peer sends single bytes.
     */
    private static final int PART_OVERHEAD_BYTES = 256;

    private final StreamingSettings settings;
    private final BufferAccounting accounting;
    private final Source source;
    private State state = State.READING;

    /** Accounted bytes of the parts that have been received and not yet been written. */
    private long pendingBytes;

    /**
     * Time at which the source last sent a part, was paused or was resumed, on the clock of {@link
     * System#nanoTime}.
     */
    private long sourceActiveNanos = System.nanoTime();

    /**
     * Start of the time for which the sink has taken nothing, on the clock of {@link
     * System#nanoTime}. Set whenever a write to the sink ends, and whenever a part arrives while no
     * bytes are pending.
     */
    private long sinkActiveNanos = sourceActiveNanos;

    /** Creates the flow control of a source that is being read. */
    public FlowControl(StreamingSettings settings, BufferAccounting accounting, Source source) {
        this.settings = settings;
        this.accounting = accounting;
        this.source = source;
    }

    /**
     * Returns the number of bytes that are counted for a part, including the overhead. The part
     * remains owned by the caller.
     */
    public static int accountedBytes(ByteBuf part) {
        return part.readableBytes() + PART_OVERHEAD_BYTES;
    }

    /**
     * Copies the part if its backing buffer is much larger than the part. Otherwise a small slice
     * of a socket read would keep the memory of the whole read allocated.
     *
     * @param part a part of a body; ownership passes to this method
     * @return the part itself or a copy, owned by the caller
     */
    public static ByteBuf compact(ByteBuf part) {
        ByteBuf backing = part.unwrap() == null ? part : part.unwrap();
        if (backing.capacity() <= 2 * part.readableBytes() + PART_OVERHEAD_BYTES) {
            return part;
        }
        ByteBuf copy = part.alloc().heapBuffer(part.readableBytes()).writeBytes(part);
        part.release();
        return copy;
    }

    /** Records that a part of the given size has been received from the source. */
    public void bytesReceived(int accountedBytes) {
        sourceActiveNanos = System.nanoTime();
        if (pendingBytes == 0) {
            sinkActiveNanos = sourceActiveNanos;
        }
        pendingBytes += accountedBytes;
        accounting.add(accountedBytes);
        applyWatermarks();
    }

    /** Records that the write of a part of the given size to the sink has completed or failed. */
    public void bytesWritten(int accountedBytes) {
        sinkActiveNanos = System.nanoTime();
        pendingBytes -= accountedBytes;
        accounting.add(-accountedBytes);
        applyWatermarks();
    }

    /** Pauses the source until {@link #resumeWithSink} is called. */
    void pauseWithoutSink() {
        if (state == State.READING) {
            pause(State.PAUSED_WITHOUT_SINK);
        } else if (state == State.PAUSED_BY_WATERMARK) {
            state = State.PAUSED_WITHOUT_SINK;
        }
    }

    /** Called when there is a sink again: resumes the source if the watermarks allow it. */
    void resumeWithSink() {
        if (state == State.PAUSED_WITHOUT_SINK) {
            state = State.PAUSED_BY_WATERMARK;
            applyWatermarks();
        }
    }

    /**
     * Records that the source has sent everything. Resumes a source that is paused, so that the end
     * of its connection is detected.
     */
    public void sourceFinished() {
        boolean wasReading = state == State.READING;
        state = State.FINISHED;
        if (!wasReading) {
            source.setReading(true);
        }
    }

    /** Returns whether the source is being read. */
    boolean isReading() {
        return state == State.READING;
    }

    private void applyWatermarks() {
        if (state == State.READING && pendingBytes >= settings.highWatermarkBytes()) {
            pause(State.PAUSED_BY_WATERMARK);
        } else if (state == State.PAUSED_BY_WATERMARK
                && pendingBytes <= settings.lowWatermarkBytes()) {
            resume();
        }
    }

    private void pause(State paused) {
        state = paused;
        sourceActiveNanos = System.nanoTime();
        source.setReading(false);
    }

    private void resume() {
        state = State.READING;
        sourceActiveNanos = System.nanoTime();
        source.setReading(true);
    }

    /**
     * Returns whether the source is not paused and has sent nothing for longer than the read stall
     * limit.
     */
    public boolean isSourceStalled() {
        return state == State.READING
                && millisSince(sourceActiveNanos) > settings.readStallMillis();
    }

    /**
     * Returns whether bytes are pending and none was written for longer than the write stall limit.
     */
    public boolean isSinkStalled() {
        return pendingBytes > 0 && millisSince(sinkActiveNanos) > settings.writeStallMillis();
    }

    private static long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }
}
