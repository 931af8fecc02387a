package sagefall.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * Closes the connection when bytes arrive while no request is outstanding, because such bytes would
 * be taken for the response to the next request.
 */
final class UnsolicitedInputGate extends ChannelInboundHandlerAdapter {

    private final HttpClientConnection connection;

    UnsolicitedInputGate(HttpClientConnection connection) {
        this.connection = connection;
    }

    /** Passes the bytes on, or releases them if no request is outstanding. */
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
