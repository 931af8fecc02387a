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

/** Tests the flow control of one direction of a stream. */
class FlowControlTest {

    /** Settings with a high watermark of 1000 bytes and a low watermark of 400 bytes. */
    private static final StreamingSettings SETTINGS =
            new StreamingSettings(Map.of(), 1000, 400, 1000, 1000, 0, 0, 0);

    private final List<Boolean> readingChanges = new ArrayList<>();
    private final BufferAccounting accounting = new BufferAccounting();
    private final FlowControl flow = new FlowControl(SETTINGS, accounting, readingChanges::add);

    @Test
    void sourceIsPausedAtTheHighWatermarkAndResumedAtTheLowOne() {
        flow.bytesReceived(999);
        assertEquals(List.of(), readingChanges);
        flow.bytesReceived(1);
        assertEquals(List.of(false), readingChanges);
        flow.bytesWritten(599);
        assertEquals(List.of(false), readingChanges);
        flow.bytesWritten(1);
        assertEquals(List.of(false, true), readingChanges);
    }

    @Test
    void sourceWithoutSinkIsNotReadBelowTheLowWatermark() {
        flow.pauseWithoutSink();
        flow.bytesReceived(2000);
        flow.bytesWritten(2000);
        assertEquals(List.of(false), readingChanges);
        flow.resumeWithSink();
        assertEquals(List.of(false, true), readingChanges);
    }

    @Test
    void finishedSourceIsNeitherPausedNorStalled() {
        flow.sourceFinished();
        flow.bytesReceived(2000);
        assertEquals(List.of(), readingChanges);
        assertFalse(flow.isSourceStalled());
    }

    /**
     * The pending bytes exceed the high watermark of 1000 bytes by less than one part, whose
     * maximum is 300 bytes. This holds for any order in which parts are received and written.
     */
    @Test
    void pendingBytesExceedTheHighWatermarkByLessThanOnePart() {
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
            reading = readingChanges.isEmpty() || readingChanges.get(readingChanges.size() - 1);
            assertEquals(pending, accounting.bufferedBytes());
            assertTrue(pending < 1300 && accounting.peakBytes() < 1300);
            assertTrue(reading || pending > 400, "not read at the low watermark");
        }
    }

    /** A slice of a few bytes must not keep the buffer of a large read in memory. */
    @Test
    void smallPartOfALargeReadIsCopied() {
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
