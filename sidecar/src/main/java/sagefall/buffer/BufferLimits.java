package sagefall.buffer;

import io.netty.util.internal.PlatformDependent;

/**
 * Limits of the memory that connections may hold.
 *
 * @param directBytes maximum capacity of all direct buffers; further buffers are on the heap
 * @param heapBytes number of bytes on the heap above which buffers are dropped
 */
public record BufferLimits(long directBytes, long heapBytes) {

    /**
     * Part of the JVM's direct memory that is left to the JDK, which copies each write of a heap
     * buffer to a direct buffer of its own.
     */
    private static final int DIRECT_RESERVE_DIVISOR = 4;

    /** The limit on the heap is the maximum heap size divided by this number. */
    private static final int HEAP_DIVISOR = 3;

    /** Returns the limits that fit the options of this JVM. */
    public static BufferLimits ofJvm() {
        long maxDirectBytes = PlatformDependent.estimateMaxDirectMemory();
        return new BufferLimits(
                maxDirectBytes - maxDirectBytes / DIRECT_RESERVE_DIVISOR,
                Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
    }
}
