package sagefall.proxy.downstream;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import sagefall.http.CompactingAggregator;
import sagefall.http.HttpClientConnection;

/**
 * Buffers a request and its body as one message, unless the body is streamed. The head and the
 * parts of a streamed body are passed on as they arrive. A body that is too large to be buffered is
 * rejected with 413, and the connection is closed.
 */
final class RequestAggregator extends CompactingAggregator {
    private final ClientConnection connection;
    private boolean bodyStreamed;

    RequestAggregator(ClientConnection connection) {
        super(HttpClientConnection.MAX_BODY_BYTES, true);
        this.connection = connection;
    }

    @Override
    public boolean acceptInboundMessage(Object message) throws Exception {
        if (message instanceof HttpRequest head) {
            bodyStreamed =
                    !(message instanceof FullHttpRequest)
                            && connection.reader().maxStreamedBodyBytes(head) > 0;
        }
        return !bodyStreamed && super.acceptInboundMessage(message);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
        connection.reject(
                HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, RequestReader.BODY_TOO_LARGE);
    }
}
