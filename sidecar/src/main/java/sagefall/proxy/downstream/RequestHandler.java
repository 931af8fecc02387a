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
    /** Returns whether an endpoint is ready for requests. {@code /healthz} reports this value. */
    boolean hasReadyEndpoint();

    /**
     * Handles a request that has been read completely. Unless this method throws, the handler sends
     * one response through the client, during this call or later.
     *
     * @param http the request; the caller releases it when this method returns
     * @param client the exchange that takes the response
     * @throws BadRequestException if the request violates the protocol; the caller sends the 400
     *     response
     */
    void handle(FullHttpRequest http, ProxiedRequest.Client client) throws BadRequestException;

    /**
     * Returns the maximum length, in bytes, of a streamed body of this request; 0 if the body is
     * buffered completely.
     */
    default long maxUploadBytes(HttpRequest head) {
        return 0;
    }

    /**
     * Handles a request whose body is streamed. Called when the head of the request has been read.
     * Unless this method throws, the handler sends one response through the client, during this
     * call or later.
     *
     * @throws BadRequestException if the request violates the protocol; the caller sends the 400
     *     response
     */
    default void handle(HttpRequest head, StreamedUpload upload, ProxiedRequest.Client client)
            throws BadRequestException {
        throw new UnsupportedOperationException();
    }

    /**
     * Called when the endpoint that serves the client's request has read or sent nothing for too
     * long.
     */
    default void endpointStalled(ProxiedRequest.Client client) {}

    /** Called when no response can be sent to the client any more. */
    void clientDisconnected(ProxiedRequest.Client client);
}
