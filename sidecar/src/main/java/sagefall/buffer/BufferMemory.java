package sagefall.buffer;

import io.netty.buffer.ByteBufAllocator;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import sagefall.logging.LogEvent;
import sagefall.logging.LogLine;
import sagefall.logging.LogRateLimit;

/**
 * The memory that all connections of a sidecar hold together: the buffers of their channels, and
 * heap memory that is recorded explicitly, for example the bodies of requests in flight. At the
 * limit, the connections whose messages hold the most bytes without progress drop them, until the
 * sum is below the limit again. Nothing waits for memory. Used on the event loop only.
 *
 * <p>The connection to drop is chosen by the product of its bytes and the time without progress. A
 * peer that stops thus goes before one that still sends, and a slow peer with few bytes stays.
 */
public final class BufferMemory {

    private final BufferLimits limits;
    private final HeapFallbackAllocator allocator;
    private final Consumer<String> log;
    private final Set<BufferHolder> holders = new LinkedHashSet<>();
    private final Map<BufferUse, Long> dropCounts = new EnumMap<>(BufferUse.class);

    /** Heap memory outside of buffers. */
    private long recordedBytes;

    private long peakHeapBytes;
    private boolean lineDue;
    private final LogRateLimit logRateLimit = new LogRateLimit();

    /** Creates the memory of a sidecar with the given limits. */
    public BufferMemory(BufferLimits limits, Consumer<String> log) {
        this.limits = limits;
        this.log = log;
        allocator = new HeapFallbackAllocator(limits.directBytes());
        for (BufferUse use : BufferUse.values()) {
            dropCounts.put(use, 0L);
        }
    }

    /** Returns the allocator of all channels whose buffers this memory counts. */
    public ByteBufAllocator allocator() {
        return allocator;
    }

    /** Creates an account of a connection's heap memory outside of buffers. */
    public HeapAccount newAccount() {
        return new HeapAccount(this);
    }

    /** Records heap memory outside of buffers that is held until {@link #free}. */
    public void hold(long bytes) {
        recordedBytes += bytes;
    }

    /** Records that heap memory is no longer held. */
    public void free(long bytes) {
        recordedBytes -= bytes;
    }

    /** Returns the number of bytes that are held on the heap. */
    public long heapBytes() {
        return allocator.heapBytes() + recordedBytes;
    }

    /** Returns the number of bytes that are held in direct memory. */
    public long directBytes() {
        return allocator.directBytes();
    }

    /** Adds a connection whose buffers may be dropped. */
    public void register(BufferHolder holder) {
        holders.add(holder);
    }

    /** Removes a connection that is closed. */
    public void unregister(BufferHolder holder) {
        holders.remove(holder);
    }

    /** Drops buffers while the heap limit is exceeded. Called after each read of a socket. */
    public void enforceLimit() {
        makeRoomFor(0);
        if (lineDue && logRateLimit.tryAcquire()) {
            logDrops();
        }
    }

    /**
     * Drops buffers until the given number of bytes fits into the heap limit.
     *
     * @return whether the bytes fit; if not, no connection holds buffers that can be dropped
     */
    public boolean makeRoomFor(long bytes) {
        peakHeapBytes = Math.max(peakHeapBytes, heapBytes());
        while (heapBytes() + bytes > limits.heapBytes()) {
            BufferHolder holder = nextToDrop();
            if (holder == null) {
                return false;
            }
            drop(holder);
        }
        return true;
    }

    private BufferHolder nextToDrop() {
        BufferHolder next = null;
        long nextScore = 0;
        for (BufferHolder holder : holders) {
            long heldBytes = holder.heldBytes();
            long score = heldBytes == 0 ? 0 : heldBytes * (holder.quietMillis() + 1);
            if (score > nextScore) {
                next = holder;
                nextScore = score;
            }
        }
        return next;
    }

    private void drop(BufferHolder holder) {
        dropCounts.merge(holder.bufferUse(), 1L, Long::sum);
        lineDue = true;
        holder.dropBuffers();
    }

    private void logDrops() {
        lineDue = false;
        LogLine line =
                LogLine.of(LogEvent.BUFFER_LIMIT_REACHED)
                        .with("heap_limit_bytes", limits.heapBytes())
                        .with("peak_heap_bytes", peakHeapBytes)
                        .with("direct_bytes", directBytes());
        dropCounts.forEach((use, count) -> line.with(use.counterName(), count));
        log.accept(line.toString());
    }
}
