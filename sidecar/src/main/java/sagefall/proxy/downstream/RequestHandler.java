package sagefall.proxy.downstream;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequest;
import sagefall.proxy.ProxiedRequest;
import sagefall.streaming.StreamedUpload;

/** What stands behind the connections. */
public interface RequestHandler {
    /** Whether a request would find a server. */
    boolean ready();

    /** A request to be answered through its client, by an exception at the latest. */
    void take(FullHttpRequest http, ProxiedRequest.Client client) throws RequestParser.BadRequest;

    /** Largest body of this request that passes through as it arrives; 0 where it is collected. */
    default long uploads(HttpRequest head) {
        return 0;
    }

    /** A request whose body passes through, from its head on. */
    default void take(HttpRequest head, StreamedUpload upload, ProxiedRequest.Client client)
            throws RequestParser.BadRequest {
        throw new UnsupportedOperationException();
    }

    /** The server of this request takes or brings nothing any more. */
    default void stalled(ProxiedRequest.Client client) {}

    /** The client of this request has closed its connection. */
    void left(ProxiedRequest.Client client);
}
