package sagefall.http;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;

/** Buffers complete responses, but passes on the parts of a streamed response as they arrive. */
final class ResponseAggregator extends CompactingAggregator {

    private final HttpClientConnection connection;
    private boolean streaming;

    /** Creates an aggregator that buffers bodies of at most {@code maxBodyBytes}. */
    ResponseAggregator(HttpClientConnection connection, int maxBodyBytes) {
        super(maxBodyBytes, false);
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
