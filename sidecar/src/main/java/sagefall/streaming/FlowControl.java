package sagefall.streaming;

import io.netty.buffer.ByteBuf;
import java.util.concurrent.TimeUnit;

/**
 * Back-pressure for one direction of a stream. Bytes that have come from the source and that the
 * sink has not taken are counted; at the high watermark the source is paused, until the count is
 * down to the low watermark. So a slow sink slows the source down, and the process buffers a window
 * however long the body is. To be used on the event loop only.
 */
public final class FlowControl {

    /** The side that the bytes come from. */
    public interface Source {
        /** Resumes reading from the source, or pauses it. */
        void setReading(boolean reading);
    }

    /** Whether the source is read, and if not, why. */
    private enum State {
        /** The source is read. */
        READING,

        /** The high watermark was reached, and the count is not down to the low one yet. */
        PAUSED_BY_WATERMARK,

        /** There is no sink, so the source is paused however little is buffered. */
        PAUSED_WITHOUT_SINK,

        /** The source has brought everything; it is not touched any more. */
        FINISHED
    }

    /**
     * What a part counts for beside its bytes: a peer that sends single bytes must not get a window
     * full of them.
     */
    private static final int PART_OVERHEAD_BYTES = 256;

    private final StreamingSettings settings;
    private final BufferAccounting accounting;
    private final Source source;
    private State state = State.READING;
    private long pendingBytes;

    /** When the source last brought something or was resumed or paused, by the nano clock. */
    private long sourceActiveNanos = System.nanoTime();

    /** When the sink last took something, or had nothing to take. */
    private long sinkActiveNanos = sourceActiveNanos;

    /** Flow control of a source that is being read. */
    public FlowControl(StreamingSettings settings, BufferAccounting accounting, Source source) {
        this.settings = settings;
        this.accounting = accounting;
        this.source = source;
    }

    /** What a part counts for, in bytes; the part stays the caller's. */
    public static int weight(ByteBuf part) {
        return part.readableBytes() + PART_OVERHEAD_BYTES;
    }

    /**
     * The same bytes without a much larger buffer behind them: a small slice of a read would keep
     * the memory of all of it.
     *
     * @param part ownership passes to this method
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

    /** A part of that weight has come from the source and waits for the sink. */
    public void bytesReceived(int weight) {
        sourceActiveNanos = System.nanoTime();
        if (pendingBytes == 0) {
            sinkActiveNanos = sourceActiveNanos;
        }
        pendingBytes += weight;
        accounting.add(weight);
        applyWatermarks();
    }

    /** The sink has taken a part of that weight, or never will. */
    public void bytesWritten(int weight) {
        sinkActiveNanos = System.nanoTime();
        pendingBytes -= weight;
        accounting.add(-weight);
        applyWatermarks();
    }

    /** There is no sink: the source is paused until there is one. */
    void pauseWithoutSink() {
        if (state == State.READING) {
            pause(State.PAUSED_WITHOUT_SINK);
        } else if (state == State.PAUSED_BY_WATERMARK) {
            state = State.PAUSED_WITHOUT_SINK;
        }
    }

    /** There is a sink: the source is read as far as the watermarks allow. */
    void resumeWithSink() {
        if (state == State.PAUSED_WITHOUT_SINK) {
            state = State.PAUSED_BY_WATERMARK;
            applyWatermarks();
        }
    }

    /** The source has brought everything. */
    public void sourceFinished() {
        state = State.FINISHED;
    }

    private void applyWatermarks() {
        if (state == State.READING && pendingBytes >= settings.highWatermark()) {
            pause(State.PAUSED_BY_WATERMARK);
        } else if (state == State.PAUSED_BY_WATERMARK && pendingBytes <= settings.lowWatermark()) {
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

    /** Whether the source is read and has brought nothing for longer than the read stall limit. */
    public boolean isSourceStalled() {
        return state == State.READING
                && millisSince(sourceActiveNanos) > settings.readStallMillis();
    }

    /** Whether bytes are pending and the sink has taken none for longer than its stall limit. */
    public boolean isSinkStalled() {
        return pendingBytes > 0 && millisSince(sinkActiveNanos) > settings.writeStallMillis();
    }

    private static long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }
}
