package sagefall.buffer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the limit on the memory of all connections, with holders that are not connections. */
class BufferMemoryTest {

    private static final long DIRECT_LIMIT = 10_000;
    private static final long HEAP_LIMIT = 100_000;

    private final List<String> log = new ArrayList<>();
    private final BufferMemory memory =
            new BufferMemory(new BufferLimits(DIRECT_LIMIT, HEAP_LIMIT), log::add);
    private final List<String> dropped = new ArrayList<>();

    /** Holds a number of bytes that are recorded in {@link #memory} until they are dropped. */
    private final class Holder implements BufferHolder {
        private final String name;
        private final BufferUse use;
        private final long quietMillis;
        private long bytes;

        Holder(String name, BufferUse use, long bytes, long quietMillis) {
            this.name = name;
            this.use = use;
            this.bytes = bytes;
            this.quietMillis = quietMillis;
            memory.hold(bytes);
            memory.register(this);
        }

        @Override
        public BufferUse bufferUse() {
            return use;
        }

        @Override
        public long heldBytes() {
            return bytes;
        }

        @Override
        public long quietMillis() {
            return quietMillis;
        }

        @Override
        public void dropBuffers() {
            memory.free(bytes);
            bytes = 0;
            dropped.add(name);
        }
    }

    private void request(String name, long bytes, long quietMillis) {
        new Holder(name, BufferUse.CLIENT_REQUEST, bytes, quietMillis);
    }

    @Test
    void nothingIsDroppedUpToTheLimit() {
        request("a", HEAP_LIMIT / 2, 1_000);
        request("b", HEAP_LIMIT / 2, 1_000);
        memory.enforceLimit();
        assertEquals(List.of(), dropped);
        assertEquals(List.of(), log);
    }

    @Test
    void stoppedPeerWithMostBytesIsDroppedFirst() {
        request("slow and small", 200, 1_500);
        request("sends", 60_000, 10);
        request("stopped", 60_000, 900);
        memory.enforceLimit();
        assertEquals(List.of("stopped"), dropped);
    }

    @Test
    void asManyAreDroppedAsNecessary() {
        request("a", 40_000, 3);
        request("b", 40_000, 2);
        request("c", 40_000, 1);
        assertTrue(memory.makeRoomFor(50_000));
        assertEquals(List.of("a", "b"), dropped);
    }

    @Test
    void bytesDoNotFitIfNothingCanBeDropped() {
        memory.hold(HEAP_LIMIT);
        request("a", 10, 1);
        assertFalse(memory.makeRoomFor(1));
        assertEquals(List.of("a"), dropped);
        memory.free(1);
        assertTrue(memory.makeRoomFor(1));
    }

    @Test
    void closedConnectionIsNotDropped() {
        Holder closed = new Holder("closed", BufferUse.CLIENT_REQUEST, HEAP_LIMIT, 1);
        memory.unregister(closed);
        memory.hold(1);
        memory.enforceLimit();
        assertEquals(List.of(), dropped);
    }

    @Test
    void dropsAreLoggedByKind() {
        new Holder("a", BufferUse.CLIENT_REQUEST, HEAP_LIMIT, 1);
        new Holder("b", BufferUse.ENDPOINT_RESPONSE, HEAP_LIMIT, 1);
        memory.enforceLimit();
        assertEquals(
                List.of(
                        "WARN buffer_limit_reached heap_limit_bytes=100000 peak_heap_bytes=200000"
                                + " direct_bytes=0 requests_refused=1 responses_reset=0"
                                + " attempts_ended=0"),
                log);
    }

    @Test
    void accountIsPartOfTheSumUntilItIsCleared() {
        HeapAccount account = memory.newAccount();
        account.add(300);
        account.add(200);
        assertEquals(500, memory.heapBytes());
        account.clear();
        account.clear();
        assertEquals(0, memory.heapBytes());
    }

    /** Guards against a fault in which reads waited for direct memory at the limit of the JVM. */
    @Test
    void readsUseTheHeapBeyondTheDirectLimit() {
        List<ByteBuf> buffers = new ArrayList<>();
        for (int i = 0; i < 15; i++) {
            buffers.add(memory.allocator().ioBuffer(1_000));
        }
        assertEquals(DIRECT_LIMIT, memory.directBytes());
        assertEquals(5_000, memory.heapBytes());
        assertEquals(10, buffers.stream().filter(ByteBuf::isDirect).count());
        buffers.forEach(ByteBuf::release);
        assertEquals(0, memory.directBytes() + memory.heapBytes());
    }

    @Test
    void buffersThatMayGrowAreOnTheHeap() {
        List<ByteBuf> growing =
                List.of(memory.allocator().buffer(), memory.allocator().compositeBuffer());
        growing.forEach(buffer -> buffer.writeZero(20_000));
        assertEquals(0, memory.directBytes());
        growing.forEach(ByteBuf::release);
    }

    @Test
    void undecodedBytesGrowOnTheHeap() {
        ByteBuf cumulation = memory.allocator().ioBuffer(100).writeZero(100);
        for (int i = 0; i < 50; i++) {
            ByteBuf input = memory.allocator().ioBuffer(100).writeZero(100);
            cumulation = HeapCumulator.INSTANCE.cumulate(memory.allocator(), cumulation, input);
        }
        assertEquals(5_100, cumulation.readableBytes());
        assertEquals(0, memory.directBytes());
        cumulation.release();
        assertEquals(0, memory.heapBytes());
    }
}
