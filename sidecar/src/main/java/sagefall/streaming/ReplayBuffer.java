package sagefall.streaming;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * A copy of the beginning of an upload, so that another server can be sent the body from its first
 * byte on. An upload that grows past the limit can no longer be replayed, and the copy is dropped.
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

    /** Copies a part, which stays the caller's, unless the upload can no longer be replayed. */
    void append(ByteBuf part) {
        if (replayable) {
            bytes.writeBytes(part, part.readerIndex(), part.readableBytes());
            accounting.add(part.readableBytes());
        }
    }

    /** Whether there are bytes to send. */
    boolean isReadable() {
        return bytes.isReadable();
    }

    /** A copy of all bytes, owned by the caller. */
    ByteBuf copy() {
        return bytes.copy();
    }

    /**
     * Gives up on a replay where the upload is past the limit.
     *
     * @param receivedBytes length of the upload so far
     * @return true in the one call that changes it
     */
    boolean giveUpPastLimit(long receivedBytes) {
        if (!replayable || receivedBytes <= limitBytes) {
            return false;
        }
        replayable = false;
        clear();
        return true;
    }

    /** Drops the bytes and their memory. */
    void clear() {
        accounting.add(-bytes.readableBytes());
        bytes.clear().capacity(0);
    }
}
