package sagefall.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

/** What a link tells its owner, always on the event loop. */
public interface HttpConnectionListener {
    void opened();

    /** The last byte of the request has been handed to the network. */
    void written();

    /**
     * A whole answer; the link keeps the reference and releases it on return. Where more came than
     * the answer (not clean), the connection is of no further use.
     */
    void answered(FullHttpResponse answer, boolean clean);

    /** An answer of status 200 that passes through has begun; its end is bounded. */
    default void began(HttpResponse head) {}

    /** A part of it, which the owner takes over. */
    default void part(ByteBuf part) {
        part.release();
    }

    /** All that came in one go has been told. */
    default void flush() {}

    /** It has come whole. */
    default void finished(HttpHeaders trailers, boolean clean) {}

    /** Never came up, broke, or was closed by either side. */
    void closed();
}
