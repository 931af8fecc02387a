package sagefall.http;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import sagefall.buffer.HeapAccount;
import sagefall.buffer.HeapCumulator;

/**
 * Decodes responses, detects whether part of a further message is buffered, and rejects a header
 * line without a colon.
 */
final class ResponseDecoder extends HttpResponseDecoder {

    private final HeaderFieldCounter fields;
    private boolean messageBegun;

    /** Creates a decoder that records the memory of header fields in the given account. */
    ResponseDecoder(HeapAccount account) {
        fields = new HeaderFieldCounter(account);
        setCumulator(HeapCumulator.INSTANCE);
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        messageBegun = true;
        fields.reset();
        return super.createMessage(initialLine);
    }

    /**
     * Rejects a response that has both a length and a transfer coding: one of the two is wrong (RFC
     * 9112, 6.3).
     *
     * @throws IllegalArgumentException always
     */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("response has a length and a transfer coding");
    }

    /** Records that a message is complete. Later input belongs to another message. */
    void messageEnded() {
        messageBegun = false;
    }

    /** Returns whether there is neither an incomplete message nor a buffered byte. */
    boolean isEmpty() {
        return !messageBegun && actualReadableBytes() == 0;
    }

    /**
     * Splits the field name off a header line. In responses, but not in requests, Netty accepts a
     * space after the field name and a missing colon. This method rejects both.
     *
     * @throws IllegalArgumentException if the name is not directly followed by a colon, or if the
     *     response has too many fields
     */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (start + length >= line.length || line[start + length] != ':') {
            throw new IllegalArgumentException("header field name is not followed by a colon");
        }
        fields.add();
        return super.splitHeaderName(line, start, length);
    }
}
