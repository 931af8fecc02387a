package sagefall.proxy.downstream;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequest;
import sagefall.proxy.ProxiedRequest;
import sagefall.streaming.StreamedUpload;

/**
 * Handles the requests that the client connections have read. All methods are called on the event
 * loop of the listener.
 */
public interface RequestHandler {
    /** Whether a request would find an endpoint; {@code /healthz} reports it. */
    boolean hasReadyEndpoint();

    /**
     * Handles a request that has been read completely. The handler answers it once through the
     * client, now or later, or throws.
     *
     * @param http the request; the caller releases it when this method returns
     * @param client the exchange that takes the response
     * @throws BadRequestException if this is no request of the protocol; the caller answers
     */
    void handle(FullHttpRequest http, ProxiedRequest.Client client) throws BadRequestException;

    /**
     * Largest body of this request, in bytes, that is streamed as it arrives; 0 where the body is
     * collected first.
     */
    default long maxUploadBytes(HttpRequest head) {
        return 0;
    }

    /**
     * Handles a request whose body is streamed, from its head on. The handler answers it once
     * through the client, now or later, or throws.
     *
     * @throws BadRequestException if this is no request of the protocol; the caller answers
     */
    default void handle(HttpRequest head, StreamedUpload upload, ProxiedRequest.Client client)
            throws BadRequestException {
        throw new UnsupportedOperationException();
    }

    /** The server of this request has neither read nor sent anything for too long. */
    default void serverStalled(ProxiedRequest.Client client) {}

    /** The client of this request has disconnected and can't be answered any more. */
    void clientDisconnected(ProxiedRequest.Client client);
}
