package sagefall.proxy;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpResponse;
import java.net.InetSocketAddress;
import sagefall.buffer.BufferMemory;
import sagefall.http.HttpClientConnection;
import sagefall.http.HttpConnectionListener;
import sagefall.http.ResponseBuffering;
import sagefall.http.ResponseEnding;

/**
 * Sends the requests of the warm-up on one connection, each as soon as the response to the previous
 * request has arrived. Used on the event loop only.
 */
final class WarmUpClient implements HttpConnectionListener {

    /** Tracks the progress of the warm-up across its clients. */
    interface Progress {
        /** Returns whether requests may still be sent. */
        boolean isRunning();

        /**
         * Counts a response. Returns whether the client that received the response is to send a
         * further request.
         */
        boolean onResponse();
    }

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final long connectTimeoutMicros;
    private final BufferMemory memory;
    private final WarmUpRequests requests;
    private final Progress progress;
    private HttpClientConnection connection;

    WarmUpClient(
            EventLoop loop,
            InetSocketAddress address,
            long connectTimeoutMicros,
            BufferMemory memory,
            WarmUpRequests requests,
            Progress progress) {
        this.loop = loop;
        this.address = address;
        this.connectTimeoutMicros = connectTimeoutMicros;
        this.memory = memory;
        this.requests = requests;
        this.progress = progress;
    }

    /** Connects and begins to send; to be called once. */
    void connect() {
        connection =
                new HttpClientConnection(
                        loop,
                        address,
                        HttpClientConnection.MAX_BODY_BYTES,
                        connectTimeoutMicros,
                        memory,
                        ResponseBuffering.DROPPABLE,
                        this);
    }

    @Override
    public void connectionOpened() {
        if (progress.isRunning()) {
            connection.send(requests.next());
        }
    }

    @Override
    public void requestWritten() {}

    /**
     * @param response the response, which remains owned by the connection
     */
    @Override
    public void responseCollected(FullHttpResponse response, ResponseEnding ending) {
        if (progress.onResponse() && ending.isReusable()) {
            // The next request is sent in a later task, because the connection has not released the
            // response yet.
            loop.execute(() -> connection.send(requests.next()));
        }
    }

    @Override
    public void connectionClosed() {}
}
