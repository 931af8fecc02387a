package sagefall.buffer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.ByteToMessageDecoder;

/**
 * Appends input to the bytes that a decoder has not decoded yet, in a heap buffer that grows. The
 * cumulator that Netty uses by default grows the direct buffer of the first read, without a check
 * of the limit on direct memory.
 */
public final class HeapCumulator implements ByteToMessageDecoder.Cumulator {

    /** The only instance, since there is no state. */
    public static final HeapCumulator INSTANCE = new HeapCumulator();

    private HeapCumulator() {}

    /** Takes ownership of both buffers; the caller owns the returned one. */
    @Override
    public ByteBuf cumulate(ByteBufAllocator allocator, ByteBuf cumulation, ByteBuf input) {
        if (!cumulation.isReadable()) {
            cumulation.release();
            return input;
        }
        ByteBuf appended = growable(allocator, cumulation, input.readableBytes());
        appended.writeBytes(input);
        input.release();
        return appended;
    }

    private static ByteBuf growable(
            ByteBufAllocator allocator, ByteBuf cumulation, int appendedBytes) {
        if (cumulation.hasArray() && !cumulation.isReadOnly() && cumulation.refCnt() == 1) {
            return cumulation;
        }
        ByteBuf copy = allocator.heapBuffer(cumulation.readableBytes() + appendedBytes);
        copy.writeBytes(cumulation);
        cumulation.release();
        return copy;
    }
}
