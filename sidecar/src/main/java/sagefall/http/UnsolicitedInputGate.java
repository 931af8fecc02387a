package sagefall.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * Closes the connection when bytes arrive while no request is outstanding: they would be taken for
 * the response to the next request.
 */
final class UnsolicitedInputGate extends ChannelInboundHandlerAdapter {

    private final HttpClientConnection connection;

    UnsolicitedInputGate(HttpClientConnection connection) {
        this.connection = connection;
    }

    /** Takes ownership of the bytes: passes them on, or releases them. */
    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) {
        if (connection.state().expectsInput()) {
            context.fireChannelRead(bytes);
        } else {
            ReferenceCountUtil.release(bytes);
            context.close();
        }
    }
}
