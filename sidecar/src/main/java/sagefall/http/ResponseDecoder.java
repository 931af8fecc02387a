package sagefall.http;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;

/**
 * Decodes responses, reports whether a part of a further message is buffered, and rejects a header
 * line without a colon.
 */
final class ResponseDecoder extends HttpResponseDecoder {

    private boolean messageBegun;

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        messageBegun = true;
        return super.createMessage(initialLine);
    }

    /** A complete message has been passed on; what is decoded from now on is another one. */
    void messageEnded() {
        messageBegun = false;
    }

    /** Whether neither a message has begun nor bytes are buffered. */
    boolean isEmpty() {
        return !messageBegun && actualReadableBytes() == 0;
    }

    /**
     * In responses, though not in requests, Netty accepts a field name that ends with a space, and
     * a missing colon.
     *
     * @throws IllegalArgumentException if no colon follows the name
     */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (start + length >= line.length || line[start + length] != ':') {
            throw new IllegalArgumentException("no colon behind a header's name");
        }
        return super.splitHeaderName(line, start, length);
    }
}
