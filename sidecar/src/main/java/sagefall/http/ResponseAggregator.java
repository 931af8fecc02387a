package sagefall.http;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;

/** Collects responses, except one that is streamed: its parts are passed on as they arrive. */
final class ResponseAggregator extends HttpObjectAggregator {

    private final HttpClientConnection connection;
    private boolean streaming;

    /** Collects bodies of at most so many bytes. */
    ResponseAggregator(HttpClientConnection connection, int maxBodyBytes) {
        super(maxBodyBytes);
        this.connection = connection;
    }

    @Override
    public boolean acceptInboundMessage(Object message) throws Exception {
        if (message instanceof HttpResponse head) {
            streaming =
                    connection.maxStreamedBytes() > 0
                            && head.status().equals(HttpResponseStatus.OK)
                            && !(message instanceof FullHttpResponse);
        }
        return !streaming && super.acceptInboundMessage(message);
    }
}
