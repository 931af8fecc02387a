package sagefall.discovery;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import sagefall.config.SocketAddresses;
import sagefall.http.HttpClientConnection;
import sagefall.http.HttpConnectionListener;

/**
 * Calls to discovery over one connection, one at a time. Each call ends by an answer or a failure;
 * after {@link #close} nothing that the connection still brings is reported. Belongs to the event
 * loop.
 */
final class EndpointPoll {

    static final String REASON_NO_ANSWER = "no answer";
    static final String REASON_CONNECTION_LOST = "connection lost";

    /**
     * Largest list, in bytes: over a thousand servers with long names, indented; in memory only
     * while it is read.
     */
    private static final int MAX_LIST_BYTES = 4 * 1024 * 1024;

    private static final long CONNECT_TIMEOUT_MICROS = 1_000_000;

    /**
     * The owner of the calls: it names the target and receives the results, always on the event
     * loop.
     */
    interface Listener {
        /**
         * Path and query of the call. Asked for as the request is written, which may be later than
         * {@link EndpointPoll#call}: it says what is known by then.
         */
        String requestTarget();

        /** The call was answered; the answer is released by the caller after this returns. */
        void answered(FullHttpResponse answer);

        /** The call failed, or the connection broke between two calls. */
        void failed(String reason);
    }

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Listener listener;
    private final HttpClientConnection connection;

    private boolean connected;
    private boolean closed;

    /** An answer is being reported; the connection is not to be read meanwhile. */
    private boolean reporting;

    private Future<?> timeout;

    /** Begins to connect; the first call may be made at once. */
    EndpointPoll(EventLoop loop, InetSocketAddress address, Listener listener) {
        this.loop = loop;
        this.address = address;
        this.listener = listener;
        connection =
                new HttpClientConnection(
                        loop,
                        address,
                        MAX_LIST_BYTES,
                        CONNECT_TIMEOUT_MICROS,
                        new ConnectionEvents());
    }

    /** Makes a call, as soon as the connection is there; the timeout runs from now on. */
    void call(long timeoutMillis) {
        timeout =
                loop.schedule(
                        () -> listener.failed(REASON_NO_ANSWER),
                        timeoutMillis,
                        TimeUnit.MILLISECONDS);
        if (connected) {
            writeRequest();
        }
    }

    /** Reads what discovery has written and the loop has not come to read yet. */
    void catchUp() {
        if (connected && !reporting) {
            connection.readAvailable();
        }
    }

    /** Ends the call and the connection; neither is reported. */
    void close() {
        closed = true;
        cancelTimeout();
        connection.close();
    }

    private void cancelTimeout() {
        if (timeout != null) {
            timeout.cancel(false);
        }
    }

    private void writeRequest() {
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.GET,
                        listener.requestTarget(),
                        Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, SocketAddresses.format(address));
        connection.send(request);
    }

    private final class ConnectionEvents implements HttpConnectionListener {
        @Override
        public void connectionOpened() {
            connected = true;
            if (!closed) {
                writeRequest();
            }
        }

        @Override
        public void requestWritten() {}

        @Override
        public void responseCollected(FullHttpResponse answer, boolean clean) {
            if (closed) {
                return;
            }
            reporting = true;
            try {
                cancelTimeout();
                listener.answered(answer);
            } finally {
                reporting = false;
            }
        }

        @Override
        public void connectionClosed() {
            if (!closed) {
                listener.failed(REASON_CONNECTION_LOST);
            }
        }
    }
}
