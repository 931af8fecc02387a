package sagefall.proxy;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpResponse;
import java.net.InetSocketAddress;
import sagefall.http.HttpClientConnection;
import sagefall.http.HttpConnectionListener;

/**
 * A client of the warm-up, on one connection: it sends the next request as soon as it has an
 * answer. Used on the event loop only.
 */
final class WarmUpClient implements HttpConnectionListener {

    /** The warm-up that the client works for. */
    interface Progress {
        /** Whether requests may still be sent. */
        boolean isRunning();

        /** Counts an answer; whether its client sends a further request. */
        boolean onAnswered();
    }

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final long connectMicros;
    private final WarmUpRequests requests;
    private final Progress progress;
    private HttpClientConnection connection;

    WarmUpClient(
            EventLoop loop,
            InetSocketAddress address,
            long connectMicros,
            WarmUpRequests requests,
            Progress progress) {
        this.loop = loop;
        this.address = address;
        this.connectMicros = connectMicros;
        this.requests = requests;
        this.progress = progress;
    }

    /** Connects, once, and begins to send. */
    void connect() {
        connection =
                new HttpClientConnection(
                        loop, address, HttpClientConnection.MAX_BODY_BYTES, connectMicros, this);
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
     * @param answer stays the connection's
     */
    @Override
    public void responseCollected(FullHttpResponse answer, boolean clean) {
        if (progress.onAnswered() && clean) {
            // Not from inside the answer, which the connection has still to release.
            loop.execute(() -> connection.send(requests.next()));
        }
    }

    @Override
    public void connectionClosed() {}
}
