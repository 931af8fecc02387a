package sagefall.http;

import java.util.concurrent.TimeUnit;
import sagefall.buffer.BufferHolder;
import sagefall.buffer.BufferMemory;
import sagefall.buffer.BufferUse;
import sagefall.buffer.HeapAccount;

/** What a connection holds of a buffered response that is not complete. */
final class PartialResponse implements BufferHolder {
    private final HttpClientConnection connection;
    private final HeapAccount fieldMemory;

    /** Number of bytes that have been received since the last request was sent. */
    private long receivedBytes;

    /** Time at which the last request was sent or bytes last arrived, if that is later. */
    private long lastProgressNanos = System.nanoTime();

    PartialResponse(HttpClientConnection connection, BufferMemory memory) {
        this.connection = connection;
        fieldMemory = memory.newAccount();
    }

    /** Returns the account of the header fields of the response. */
    HeapAccount fieldMemory() {
        return fieldMemory;
    }

    /** Called when a request is sent. */
    void begin() {
        receivedBytes = 0;
        lastProgressNanos = System.nanoTime();
    }

    /** Records that bytes have been read. */
    void bytesReceived(int bytes) {
        receivedBytes += bytes;
        lastProgressNanos = System.nanoTime();
    }

    @Override
    public BufferUse bufferUse() {
        return BufferUse.ENDPOINT_RESPONSE;
    }

    @Override
    public long heldBytes() {
        return connection.state() == HttpConnectionState.AWAITING_RESPONSE
                ? receivedBytes + fieldMemory.bytes()
                : 0;
    }

    @Override
    public long quietMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastProgressNanos);
    }

    /** Closes the connection; the close is reported to its listener later. */
    @Override
    public void dropBuffers() {
        receivedBytes = 0;
        fieldMemory.clear();
        connection.stopReading();
    }
}
