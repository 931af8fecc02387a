package sagefall.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * Closes the connection when bytes arrive while no request is outstanding, because such bytes would
 * be treated as the response to the next request.
 */
final class UnsolicitedInputGate extends ChannelInboundHandlerAdapter {

    private final HttpClientConnection connection;

    UnsolicitedInputGate(HttpClientConnection connection) {
        this.connection = connection;
    }

    /**
     * Passes the bytes on. If no request is outstanding, instead releases the bytes and closes the
     * connection.
     */
    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) {
        if (connection.state().expectsInput()) {
            connection.bytesReceived((ByteBuf) bytes);
            context.fireChannelRead(bytes);
            connection.enforceBufferLimit();
        } else {
            ReferenceCountUtil.release(bytes);
            connection.listener().unsolicitedInput();
            context.close();
        }
    }
}
