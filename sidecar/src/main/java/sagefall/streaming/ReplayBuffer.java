package sagefall.streaming;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * A copy of the upload so far. With this copy, a retry can send the body to another endpoint from
 * its first byte. When the upload exceeds the limit, the copy is dropped, and the upload can no
 * longer be replayed.
 */
final class ReplayBuffer {

    private final int limitBytes;
    private final BufferAccounting accounting;
    private final ByteBuf bytes = Unpooled.buffer(0);
    private boolean replayable = true;

    ReplayBuffer(int limitBytes, BufferAccounting accounting) {
        this.limitBytes = limitBytes;
        this.accounting = accounting;
    }

    /**
     * Appends a copy of a part. The part itself remains owned by the caller. Has no effect if the
     * upload can no longer be replayed.
     */
    void append(ByteBuf part) {
        if (replayable) {
            bytes.writeBytes(part, part.readerIndex(), part.readableBytes());
            accounting.add(part.readableBytes());
        }
    }

    /** Returns whether an upload of the given length can be replayed. */
    boolean holds(long length) {
        return replayable && length <= limitBytes;
    }

    /** Returns whether the buffer holds any bytes. */
    boolean isReadable() {
        return bytes.isReadable();
    }

    /** Returns a copy of all bytes, owned by the caller. */
    ByteBuf copy() {
        return bytes.copy();
    }

    /**
     * Drops the copy if the upload has grown past the limit; the upload can then no longer be
     * replayed.
     *
     * @param receivedBytes length of the upload so far
     * @return whether this call has dropped the copy
     */
    boolean dropPastLimit(long receivedBytes) {
        if (!replayable || receivedBytes <= limitBytes) {
            return false;
        }
        replayable = false;
        clear();
        return true;
    }

    /** Drops the bytes and frees their memory. */
    void clear() {
        accounting.add(-bytes.readableBytes());
        bytes.clear().capacity(0);
    }
}
