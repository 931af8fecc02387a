package sagefall.proxy.downstream;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequest;
import sagefall.proxy.ProxiedRequest;
import sagefall.streaming.StreamedUpload;

/**
 * Handles the requests that are read from client connections. All methods are called on the event
 * loop of the listener.
 */
public interface RequestHandler {
    /** Whether an endpoint is ready for requests; {@code /healthz} reports this. */
    boolean hasReadyEndpoint();

    /**
     * Handles a request that has been read completely. The handler sends one response through the
     * client, now or later, or throws.
     *
     * @param http the request; the caller releases it when this method returns
     * @param client the exchange that takes the response
     * @throws BadRequestException if the request violates the protocol; the caller sends the 400
     *     response
     */
    void handle(FullHttpRequest http, ProxiedRequest.Client client) throws BadRequestException;

    /**
     * Returns the maximum length, in bytes, up to which the body of this request is streamed as it
     * arrives; 0 if the body is collected first.
     */
    default long maxUploadBytes(HttpRequest head) {
        return 0;
    }

    /**
     * Handles a request whose body is streamed, when its head has been read. The handler sends one
     * response through the client, now or later, or throws.
     *
     * @throws BadRequestException if the request violates the protocol; the caller sends the 400
     *     response
     */
    default void handle(HttpRequest head, StreamedUpload upload, ProxiedRequest.Client client)
            throws BadRequestException {
        throw new UnsupportedOperationException();
    }

    /** Called when the endpoint of this request has read or sent nothing for too long. */
    default void endpointStalled(ProxiedRequest.Client client) {}

    /** Called when the client of this request can no longer be sent a response. */
    void clientDisconnected(ProxiedRequest.Client client);
}
