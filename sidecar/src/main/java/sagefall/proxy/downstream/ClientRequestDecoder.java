package sagefall.proxy.downstream;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * An HTTP request decoder that reports whether it holds a part of a further message. Bytes after a
 * request mean that the framing of the request is invalid or that another request follows.
 */
final class ClientRequestDecoder extends HttpRequestDecoder {
    private boolean messageStarted;

    @Override
    protected HttpMessage createMessage(String[] initialLine) throws Exception {
        messageStarted = true;
        return super.createMessage(initialLine);
    }

    /** Called when a message has been handed on completely; further input is a new message. */
    void messageCompleted() {
        messageStarted = false;
    }

    /** Returns whether no byte of a further message has been read. */
    boolean isEmpty() {
        return !messageStarted && actualReadableBytes() == 0;
    }
}
