package sagefall.proxy.downstream;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.AsciiString;
import sagefall.buffer.HeapAccount;
import sagefall.buffer.HeapCumulator;
import sagefall.http.HeaderFieldCounter;

/**
 * An HTTP request decoder that reports whether it holds a part of a further message. Bytes after a
 * request mean that the framing of the request is invalid or that another request follows.
 */
final class ClientRequestDecoder extends HttpRequestDecoder {
    private final HeaderFieldCounter fields;
    private boolean messageStarted;

    /** Creates a decoder that records the memory of header fields in the given account. */
    ClientRequestDecoder(HeapAccount account) {
        fields = new HeaderFieldCounter(account);
        setCumulator(HeapCumulator.INSTANCE);
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) throws Exception {
        messageStarted = true;
        fields.reset();
        return super.createMessage(initialLine);
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        fields.add();
        return super.splitHeaderName(line, start, length);
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
