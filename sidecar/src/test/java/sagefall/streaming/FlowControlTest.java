package sagefall.streaming;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** The watermarks of one direction of a stream. */
class FlowControlTest {

    private static final StreamingSettings SETTINGS =
            new StreamingSettings(Map.of(), 1000, 400, 1000, 1000, 0, 0, 0);

    private final List<Boolean> reads = new ArrayList<>();
    private final BufferAccounting accounting = new BufferAccounting();
    private final FlowControl flow = new FlowControl(SETTINGS, accounting, reads::add);

    @Test
    void sourceIsPausedAtTheHighWatermarkAndResumedAtTheLowOne() {
        flow.bytesReceived(999);
        assertEquals(List.of(), reads);
        flow.bytesReceived(1);
        assertEquals(List.of(false), reads);
        flow.bytesWritten(599);
        assertEquals(List.of(false), reads);
        flow.bytesWritten(1);
        assertEquals(List.of(false, true), reads);
    }

    @Test
    void sourceWithoutSinkIsNotReadThoughLittleIsPending() {
        flow.pauseWithoutSink();
        flow.bytesReceived(2000);
        flow.bytesWritten(2000);
        assertEquals(List.of(false), reads);
        flow.resumeWithSink();
        assertEquals(List.of(false, true), reads);
    }

    @Test
    void finishedSourceIsNeitherPausedNorStalled() {
        flow.sourceFinished();
        flow.bytesReceived(2000);
        assertEquals(List.of(), reads);
        assertFalse(flow.isSourceStalled());
    }

    /**
     * Whatever the order of bringing and taking, the pending bytes stay within the watermark and
     * one part.
     */
    @Test
    void pendingBytesAreBounded() {
        Random random = new Random(3);
        long pending = 0;
        boolean reading = true;
        for (int i = 0; i < 100_000; i++) {
            if (reading && random.nextBoolean()) {
                int part = 1 + random.nextInt(300);
                flow.bytesReceived(part);
                pending += part;
            } else if (pending > 0) {
                int part = 1 + random.nextInt((int) pending);
                flow.bytesWritten(part);
                pending -= part;
            }
            reading = reads.isEmpty() || reads.get(reads.size() - 1);
            assertEquals(pending, accounting.reservedBytes());
            assertTrue(pending < 1300 && accounting.peakBytes() < 1300);
            assertTrue(reading || pending > 400, "not read though little is pending");
        }
    }

    /** A slice of a few bytes would keep the memory of a large read. */
    @Test
    void smallPartIsCopiedOutOfALargeRead() {
        ByteBuf read = Unpooled.buffer(16_384).writeZero(16_384);
        ByteBuf small = FlowControl.compact(read.retainedSlice(0, 3));
        assertEquals(3, small.readableBytes());
        assertEquals(1, read.refCnt());
        ByteBuf large = read.retainedSlice(0, 10_000);
        assertSame(large, FlowControl.compact(large));
        assertNotSame(small, large);
        large.release();
        small.release();
        read.release();
    }
}
