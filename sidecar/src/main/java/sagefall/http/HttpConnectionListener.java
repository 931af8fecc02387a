package sagefall.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the events of an {@link HttpClientConnection}, always on its event loop. The methods for
 * streamed responses need to be implemented only if requests are sent with a {@code
 * maxStreamedBytes} greater than 0.
 */
public interface HttpConnectionListener {

    /** Called when the connection has been established. */
    void connectionOpened();

    /**
     * Called when a request has been passed to the network up to its last byte. Not called for a
     * request whose body is streamed.
     */
    void requestWritten();

    /**
     * Called when a response has been buffered completely.
     *
     * @param response the response; the connection owns the response and releases it when this
     *     method returns
     * @param ending what had arrived behind the response
     */
    void responseCollected(FullHttpResponse response, ResponseEnding ending);

    /**
     * Called when a streamed response has begun. Its status is 200, and its headers define where
     * its body ends.
     */
    default void responseStarted(HttpResponse head) {}

    /**
     * Called for each part of the body of a streamed response.
     *
     * @param part a part of the body, never empty; ownership passes to the listener
     */
    default void responsePart(ByteBuf part) {
        part.release();
    }

    /**
     * Called when all parts from one read of the socket have been reported. Not called for the last
     * parts of a response that surplus bytes follow.
     */
    default void responseReadComplete() {}

    /**
     * Called when the last part of a streamed response has been reported.
     *
     * @param trailers the trailers as the server sent them; may be empty
     * @param ending what had arrived behind the response
     */
    default void responseFinished(HttpHeaders trailers, ResponseEnding ending) {}

    /**
     * Called when bytes have arrived while no request is outstanding. The connection is then
     * closed.
     */
    default void unsolicitedInput() {}

    /**
     * Called when the connection could not be established, failed, or was closed by either side. No
     * other method is called after this one, and this method is called exactly once. The call is
     * made in a separate task and thus never during a call to the connection.
     */
    void connectionClosed();
}
