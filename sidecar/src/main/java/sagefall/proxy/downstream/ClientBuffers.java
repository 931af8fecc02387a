package sagefall.proxy.downstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import sagefall.buffer.BufferHolder;
import sagefall.buffer.BufferMemory;
import sagefall.buffer.BufferUse;
import sagefall.buffer.HeapAccount;

/**
 * What a client connection holds for an unfinished request, or for a response that its client does
 * not read.
 */
final class ClientBuffers implements BufferHolder {
    private final ClientConnection connection;
    private final HeapAccount fieldMemory;

    /** Number of bytes that have been read of the current request. */
    private long requestBytes;

    ClientBuffers(ClientConnection connection, BufferMemory memory) {
        this.connection = connection;
        fieldMemory = memory.newAccount();
    }

    /** Returns the account of the header fields of the current request. */
    HeapAccount fieldMemory() {
        return fieldMemory;
    }

    /** Records that bytes of the current request have been read. */
    void bytesRead(int bytes) {
        requestBytes += bytes;
    }

    /** Records that what has been read belongs to no unfinished request any more. */
    void clear() {
        requestBytes = 0;
        fieldMemory.clear();
    }

    @Override
    public BufferUse bufferUse() {
        return isReadingRequest() ? BufferUse.CLIENT_REQUEST : BufferUse.CLIENT_RESPONSE;
    }

    @Override
    public long heldBytes() {
        return switch (connection.state()) {
            case READING_REQUEST -> requestBytes + fieldMemory.bytes() + unsentBytes();
            case WRITING, WRITING_LAST -> unsentBytes();
            default -> 0;
        };
    }

    private long unsentBytes() {
        ChannelOutboundBuffer unsent = connection.channel().unsafe().outboundBuffer();
        return unsent == null ? 0 : unsent.totalPendingWriteBytes();
    }

    /** Returns the time for which no bytes have arrived and the state has not changed. */
    @Override
    public long quietMillis() {
        return connection.millisWithoutInput();
    }

    /** Rejects an unfinished request; resets the connection of a client that reads nothing. */
    @Override
    public void dropBuffers() {
        if (isReadingRequest()) {
            connection.rejectForMemory();
        } else {
            Channel channel = connection.channel();
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
    }

    private boolean isReadingRequest() {
        return connection.state() == ClientConnectionState.READING_REQUEST;
    }
}
