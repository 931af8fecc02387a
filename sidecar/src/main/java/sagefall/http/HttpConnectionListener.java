package sagefall.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the events of an {@link HttpClientConnection}, always on its event loop. The methods for
 * streamed responses need to be implemented only if requests are sent with a streaming limit.
 */
public interface HttpConnectionListener {

    /** Called when the connection has been established. */
    void connectionOpened();

    /** Called when the last byte of a request with a complete body was passed to the network. */
    void requestWritten();

    /**
     * Called when a complete response has been collected.
     *
     * @param response owned by the connection, which releases it on return
     * @param clean whether nothing arrived beyond the response; if false, the connection cannot be
     *     reused
     */
    void responseCollected(FullHttpResponse response, boolean clean);

    /** Called when a streamed response has begun; its status is 200 and it has a known end. */
    default void responseStarted(HttpResponse head) {}

    /**
     * Called for each part of the body of a streamed response.
     *
     * @param part never empty; ownership passes to the listener
     */
    default void responsePart(ByteBuf part) {
        part.release();
    }

    /** Called when all parts from one read of the socket have been reported. */
    default void responseReadComplete() {}

    /**
     * Called when the last part of a streamed response has been reported.
     *
     * @param trailers as the server sent them; may be empty
     * @param clean as in {@link #responseCollected}
     */
    default void responseFinished(HttpHeaders trailers, boolean clean) {}

    /**
     * Called when the connection could not be established, failed, or was closed by either side.
     * This is the last call and is made exactly once, in a separate task, so never during a call to
     * the connection.
     */
    void connectionClosed();
}
