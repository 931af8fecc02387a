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

    private static final StreamingSettings BOUNDS =
            new StreamingSettings(Map.of(), 1000, 400, 1000, 1000, 0, 0, 0);

    private final List<Boolean> reads = new ArrayList<>();
    private final BufferAccounting buffers = new BufferAccounting();
    private final FlowControl flow = new FlowControl(BOUNDS, buffers, reads::add);

    @Test
    void sourceStopsAtTheHighWatermarkAndGoesOnAtTheLowOne() {
        flow.brought(999);
        assertEquals(List.of(), reads);
        flow.brought(1);
        assertEquals(List.of(false), reads);
        flow.taken(599);
        assertEquals(List.of(false), reads);
        flow.taken(1);
        assertEquals(List.of(false, true), reads);
    }

    @Test
    void sourceThatIsHeldIsNotReadThoughThereIsRoom() {
        flow.pauseWithoutSink();
        flow.brought(2000);
        flow.taken(2000);
        assertEquals(List.of(false), reads);
        flow.resumeWithSink();
        assertEquals(List.of(false, true), reads);
    }

    @Test
    void sourceThatHasBroughtAllIsLeftAlone() {
        flow.finished();
        flow.brought(2000);
        assertEquals(List.of(), reads);
        assertFalse(flow.bringsNothing());
    }

    /**
     * Whatever the order of bringing and taking, what waits stays within the watermark and one
     * part.
     */
    @Test
    void whatWaitsIsBounded() {
        Random random = new Random(3);
        long waiting = 0;
        boolean on = true;
        for (int i = 0; i < 100_000; i++) {
            if (on && random.nextBoolean()) {
                int part = 1 + random.nextInt(300);
                flow.brought(part);
                waiting += part;
            } else if (waiting > 0) {
                int part = 1 + random.nextInt((int) waiting);
                flow.taken(part);
                waiting -= part;
            }
            on = reads.isEmpty() || reads.get(reads.size() - 1);
            assertEquals(waiting, buffers.held());
            assertTrue(waiting < 1300 && buffers.most() < 1300);
            assertTrue(on || waiting > 400, "not read though little waits");
        }
    }

    /** A few bytes of a large read would keep the whole of it. */
    @Test
    void smallPartDoesNotKeepALargeRead() {
        ByteBuf read = Unpooled.buffer(16_384).writeZero(16_384);
        ByteBuf small = FlowControl.tight(read.retainedSlice(0, 3));
        assertEquals(3, small.readableBytes());
        assertEquals(1, read.refCnt());
        ByteBuf large = read.retainedSlice(0, 10_000);
        assertSame(large, FlowControl.tight(large));
        assertNotSame(small, large);
        large.release();
        small.release();
        read.release();
    }
}
