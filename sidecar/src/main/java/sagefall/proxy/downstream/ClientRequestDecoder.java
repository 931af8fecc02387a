package sagefall.proxy.downstream;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * An HTTP request decoder that can say whether it holds a part of a further message: bytes behind a
 * request mean that the request does not end where its framing says, or is not alone.
 */
final class ClientRequestDecoder extends HttpRequestDecoder {
    private boolean messageStarted;

    @Override
    protected HttpMessage createMessage(String[] initialLine) throws Exception {
        messageStarted = true;
        return super.createMessage(initialLine);
    }

    /** The current message has been handed on completely; what is decoded next is another one. */
    void messageCompleted() {
        messageStarted = false;
    }

    /** Whether nothing of a further message has been read. */
    boolean isEmpty() {
        return !messageStarted && actualReadableBytes() == 0;
    }
}
