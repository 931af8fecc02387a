package sagefall.proxy.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import java.util.ArrayDeque;
import java.util.Queue;
import sagefall.http.HttpClientConnection;

/**
 * Input of a client that is not decoded yet. A read that fills its buffer is held until the rest of
 * the pending input has been read, because the rest may include the end of the connection. Input of
 * a client that has left is released without being decoded: decoding can take a hundred times as
 * long as reading, and clients may send and leave at a high rate. Used on the event loop only.
 */
final class PendingInput {

    /** Number of held bytes, beyond one read, above which no more input is read before decoding. */
    private static final int MAX_HELD_BYTES = 64 * 1024;

    private final ClientConnection connection;
    private final Queue<ByteBuf> held = new ArrayDeque<>(0);
    private int heldBytes;

    PendingInput(ClientConnection connection) {
        this.connection = connection;
    }

    /** Decodes the input or holds it. Takes ownership of the input. */
    void receive(ChannelHandlerContext context, ByteBuf input) {
        if (!held.isEmpty()) {
            hold(input);
        } else if (connection.state() == ClientConnectionState.READING_REQUEST
                && !input.isWritable()) {
            hold(input);
            context.executor().execute(() -> readRestAndDecode(context));
        } else {
            decode(context, input);
        }
    }

    private void hold(ByteBuf input) {
        held.add(input);
        heldBytes += input.readableBytes();
    }

    private void decode(ChannelHandlerContext context, ByteBuf input) {
        context.fireChannelRead(input);
        connection.listener().memory().enforceLimit();
    }

    /** Reads the pending input. If the client has left, the close of the channel releases it. */
    private void readRestAndDecode(ChannelHandlerContext context) {
        Channel channel = connection.channel();
        int bytesBefore;
        do {
            bytesBefore = heldBytes;
            HttpClientConnection.readAvailableFrom(channel);
        } while (heldBytes > bytesBefore && heldBytes < MAX_HELD_BYTES);
        if (channel.isActive()) {
            decodeHeld(context);
        }
    }

    /** Decodes what is held, unless the input is discarded, as far as flow control permits. */
    private void decodeHeld(ChannelHandlerContext context) {
        while (!held.isEmpty() && !isPaused()) {
            ByteBuf input = held.remove();
            heldBytes -= input.readableBytes();
            if (connection.state().discardsInput()) {
                input.release();
            } else {
                decode(context, input);
            }
        }
        context.fireChannelReadComplete();
    }

    private boolean isPaused() {
        return connection.state() == ClientConnectionState.READING_BODY
                && !connection.channel().config().isAutoRead();
    }

    /** Called when flow control permits that more of a streamed body is read. */
    void resume() {
        if (!held.isEmpty()) {
            ChannelHandlerContext context = connection.channel().pipeline().context(connection);
            context.executor().execute(() -> decodeHeld(context));
        }
    }

    /** Releases what is held; called when no more input is accepted. */
    void release() {
        held.forEach(ByteBuf::release);
        held.clear();
        heldBytes = 0;
    }
}
