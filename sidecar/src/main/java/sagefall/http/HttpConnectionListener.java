package sagefall.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

/**
 * What an {@link HttpClientConnection} reports, always on its event loop. The methods for streamed
 * responses need to be implemented only by who sends requests with a streaming limit.
 */
public interface HttpConnectionListener {

    /** The connection has been established. */
    void connectionOpened();

    /** The last byte of a request that was sent complete has been handed to the network. */
    void requestWritten();

    /**
     * A complete response has been collected.
     *
     * @param answer owned by the connection, which releases it on return
     * @param clean whether nothing arrived beyond the response; if not, the connection is of no
     *     further use
     */
    void responseCollected(FullHttpResponse answer, boolean clean);

    /** A streamed response of status 200 has begun; its end is announced by its framing. */
    default void responseStarted(HttpResponse head) {}

    /**
     * Part of the body of a streamed response.
     *
     * @param part never empty; the listener becomes its owner
     */
    default void responsePart(ByteBuf part) {
        part.release();
    }

    /** All parts that one read of the socket brought have been reported. */
    default void responseReadComplete() {}

    /**
     * The last part of a streamed response has been reported.
     *
     * @param trailers as the server sent them, perhaps empty
     * @param clean as for a collected response
     */
    default void responseFinished(HttpHeaders trailers, boolean clean) {}

    /**
     * The connection could not be established, broke, or was closed by either side. Reported
     * exactly once and last, in a task of its own, never during a call to the connection.
     */
    void connectionClosed();
}
