package sagefall.streaming;

import io.netty.buffer.ByteBuf;
import java.util.concurrent.TimeUnit;

/**
 * Flow control of one direction of a stream: what has come from one side and has not been taken by
 * the other is counted, and past the high watermark the side that brings is not read until the
 * count is at the low one. So a slow taker slows the bringer down and the process holds a window,
 * however long the body is.
 */
public final class FlowControl {

    /** The side that brings. */
    public interface Source {
        /** Whether it is to be read. */
        void read(boolean on);
    }

    /**
     * What a part costs beside its bytes: a peer that brings single bytes must not get a window of
     * them.
     */
    private static final int PART_BYTES = 256;

    private final StreamingSettings bounds;
    private final BufferAccounting buffers;
    private final Source source;
    private long waiting;
    private boolean held;
    private boolean reading = true;
    private boolean finished;

    /**
     * When the source last brought something or was let on, and when the taker last took something.
     */
    private long broughtAt = System.nanoTime();

    private long takenAt = broughtAt;

    public FlowControl(StreamingSettings bounds, BufferAccounting buffers, Source source) {
        this.bounds = bounds;
        this.buffers = buffers;
        this.source = source;
    }

    /** What a part counts for. */
    public static int weight(ByteBuf part) {
        return part.readableBytes() + PART_BYTES;
    }

    /**
     * The same bytes without a much larger buffer behind them: a small part of a read would keep
     * all of it. Takes the part over.
     */
    public static ByteBuf tight(ByteBuf part) {
        int behind = part.unwrap() == null ? part.capacity() : part.unwrap().capacity();
        if (behind <= 2 * part.readableBytes() + PART_BYTES) {
            return part;
        }
        ByteBuf copy = part.alloc().heapBuffer(part.readableBytes()).writeBytes(part);
        part.release();
        return copy;
    }

    /** A part of that weight has come and waits for the taker. */
    public void brought(int weight) {
        broughtAt = System.nanoTime();
        if (waiting == 0) {
            takenAt = broughtAt;
        }
        waiting += weight;
        buffers.add(weight);
        adjust();
    }

    /** The taker has taken that much, or never will. */
    public void taken(int weight) {
        takenAt = System.nanoTime();
        waiting -= weight;
        buffers.add(-weight);
        adjust();
    }

    /** While there is no taker the source is not read, however little waits. */
    public void hold(boolean on) {
        held = on;
        adjust();
    }

    /** The source has brought all. */
    public void finished() {
        finished = true;
    }

    private void adjust() {
        if (finished) {
            return;
        }
        boolean room =
                reading ? waiting < bounds.highWatermark() : waiting <= bounds.lowWatermark();
        boolean next = !held && room;
        if (next != reading) {
            reading = next;
            broughtAt = System.nanoTime();
            source.read(next);
        }
    }

    /** The source is read and has brought nothing for too long. */
    public boolean bringsNothing() {
        return reading && !finished && millisSince(broughtAt) > bounds.readStallMillis();
    }

    /** Something waits, and the taker has taken nothing for too long. */
    public boolean takesNothing() {
        return waiting > 0 && millisSince(takenAt) > bounds.writeStallMillis();
    }

    private static long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }
}
