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
import sagefall.buffer.BufferMemory;
import sagefall.config.SocketAddresses;
import sagefall.http.HttpClientConnection;
import sagefall.http.HttpConnectionListener;
import sagefall.http.ResponseBuffering;
import sagefall.http.ResponseEnding;

/**
 * Makes calls to discovery over one connection, one at a time. Each call ends with a response or a
 * failure, which is reported to the listener. After {@link #close}, nothing is reported any more.
 * Used on the event loop only.
 */
final class EndpointPoll {

    static final String REASON_NO_RESPONSE = "no response";
    static final String REASON_CONNECTION_LOST = "connection lost";

    /**
     * Maximum length in bytes of an endpoint list. The bound allows over a thousand endpoints with
     * long names in indented JSON. The bytes are in memory only while a list is parsed.
     */
    private static final int MAX_LIST_BYTES = 4 * 1024 * 1024;

    private static final long CONNECT_TIMEOUT_MICROS = 1_000_000;

    /**
     * Provides the request target of each call and receives the results, always on the event loop.
     */
    interface Listener {
        /**
         * Returns the path and query of the call. Called when the request is written. This may
         * happen after {@link EndpointPoll#call} has returned, so the target can reflect the state
         * at the time of the write.
         */
        String requestTarget();

        /**
         * Handles the response to the call. The response is released after this method has
         * returned.
         *
         * @param ending what had arrived behind the response
         */
        void onResponse(FullHttpResponse response, ResponseEnding ending);

        /** Handles the failure of the call, or the loss of the connection between two calls. */
        void onFailure(String reason);
    }

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Listener listener;
    private final HttpClientConnection connection;

    private boolean connected;
    private boolean closed;

    /** Whether a response is being reported. The connection must not be read while this is true. */
    private boolean reporting;

    /** Timer of the last call's timeout; null before the first call. */
    private Future<?> timeout;

    /** Starts to connect; {@link #call} may be used before the connection is established. */
    EndpointPoll(
            EventLoop loop, InetSocketAddress address, BufferMemory memory, Listener listener) {
        this.loop = loop;
        this.address = address;
        this.listener = listener;
        connection =
                new HttpClientConnection(
                        loop,
                        address,
                        MAX_LIST_BYTES,
                        CONNECT_TIMEOUT_MICROS,
                        memory,
                        ResponseBuffering.RETAINED,
                        new ConnectionEvents());
    }

    /**
     * Makes a call. The request is sent at once if the connection is established, and otherwise as
     * soon as the connection is established.
     *
     * @param timeoutMillis duration from now after which the call fails
     */
    void call(long timeoutMillis) {
        timeout =
                loop.schedule(
                        () -> listener.onFailure(REASON_NO_RESPONSE),
                        timeoutMillis,
                        TimeUnit.MILLISECONDS);
        if (connected) {
            writeRequest();
        }
    }

    /** Reads data that discovery has sent and that the event loop has not read yet. */
    void readAvailable() {
        if (connected && !reporting) {
            connection.readAvailable();
        }
    }

    /** Cancels any call in flight and closes the connection; the listener is not notified. */
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
        public void responseCollected(FullHttpResponse response, ResponseEnding ending) {
            if (closed) {
                return;
            }
            reporting = true;
            try {
                cancelTimeout();
                listener.onResponse(response, ending);
            } finally {
                reporting = false;
            }
        }

        @Override
        public void connectionClosed() {
            if (!closed) {
                listener.onFailure(REASON_CONNECTION_LOST);
            }
        }
    }
}
