package sagefall.buffer;

import io.netty.buffer.AbstractByteBufAllocator;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;

/**
 * An allocator that uses direct memory only for socket reads, and only up to a limit. Beyond the
 * limit it allocates on the heap. At the JVM's own limit, an allocation of direct memory waits for
 * half a second and then fails, and meanwhile the event loop serves no connection.
 *
 * <p>A direct buffer that grows would allocate without a check of the limit. Therefore all buffers
 * that may grow are allocated on the heap; only buffers of socket reads, whose capacity is fixed,
 * are direct.
 */
final class HeapFallbackAllocator extends AbstractByteBufAllocator {

    private static final boolean PREFER_DIRECT = false;

    private final UnpooledByteBufAllocator delegate = new UnpooledByteBufAllocator(PREFER_DIRECT);
    private final long maxDirectBytes;

    /** Creates an allocator that has at most the given number of direct bytes allocated. */
    HeapFallbackAllocator(long maxDirectBytes) {
        super(PREFER_DIRECT);
        this.maxDirectBytes = maxDirectBytes;
    }

    @Override
    protected ByteBuf newHeapBuffer(int initialCapacity, int maxCapacity) {
        return delegate.heapBuffer(initialCapacity, maxCapacity);
    }

    @Override
    protected ByteBuf newDirectBuffer(int initialCapacity, int maxCapacity) {
        if (directBytes() + initialCapacity > maxDirectBytes) {
            return newHeapBuffer(initialCapacity, maxCapacity);
        }
        return delegate.directBuffer(initialCapacity, maxCapacity);
    }

    @Override
    public boolean isDirectBufferPooled() {
        return false;
    }

    /** Returns the capacity of all direct buffers that have not been released, in bytes. */
    long directBytes() {
        return delegate.metric().usedDirectMemory();
    }

    /** Returns the capacity of all heap buffers that have not been released, in bytes. */
    long heapBytes() {
        return delegate.metric().usedHeapMemory();
    }
}
