package sagefall.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import sagefall.streaming.StreamingSettings;

/**
 * One outgoing HTTP/1.1 connection with at most one request outstanding. It collects complete
 * responses, or streams them where the request allows that, and reports its end exactly once. To be
 * used on its event loop only.
 *
 * <p>A response belongs to a request only if nothing else was on its way when the request was
 * written. So a response is reported when everything that arrived with it has been read, along with
 * whether anything was left over; and an unsolicited byte closes the connection.
 */
public final class HttpClientConnection {

    /** Largest body that is collected, in bytes. */
    public static final int MAX_BODY_BYTES = 64 * 1024;

    private static final int MIN_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2048;
    private static final int MICROS_PER_MILLI = 1000;

    private final Channel channel;
    private final HttpConnectionListener listener;
    private final ResponseDecoder decoder = new ResponseDecoder();
    private ConnectionState state = ConnectionState.CONNECTING;

    /** Largest response that is streamed, of the request sent last; 0 where it is collected. */
    private long maxStreamedBytes;

    /**
     * Begins to connect; no response on this connection is going to be streamed.
     *
     * @param maxBody largest response that is collected, in bytes
     * @param connectMicros time limit for establishing the connection, in microseconds
     */
    public HttpClientConnection(
            EventLoop loop,
            InetSocketAddress to,
            int maxBody,
            long connectMicros,
            HttpConnectionListener listener) {
        this(loop, to, maxBody, connectMicros, false, listener);
    }

    /**
     * Begins to connect. A connection that streams is read in small pieces, so that few bytes come
     * past a high watermark.
     *
     * @param maxBody largest response that is collected, in bytes
     * @param connectMicros time limit for establishing the connection, in microseconds
     * @param streaming whether responses may be streamed
     */
    public HttpClientConnection(
            EventLoop loop,
            InetSocketAddress to,
            int maxBody,
            long connectMicros,
            boolean streaming,
            HttpConnectionListener listener) {
        this.listener = listener;
        Bootstrap bootstrap = new Bootstrap();
        if (streaming) {
            bootstrap.option(ChannelOption.RECVBUF_ALLOCATOR, smallReadAllocator());
        }
        int connectMillis = (int) Math.max(1, connectMicros / MICROS_PER_MILLI);
        ChannelFuture connecting =
                bootstrap
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        // Otherwise an announced end and a reset would look alike.
                        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMillis)
                        .handler(new ConnectionInitializer(this, maxBody))
                        .connect(to);
        channel = connecting.channel();
        connecting.addListener(connected -> onConnectDone(loop, connected));
        channel.closeFuture().addListener(closed -> executeLater(loop, this::onClosed));
    }

    /**
     * Without a free descriptor there is no channel at all, and the failure comes on another
     * thread. The end is reported in a task of its own, so never inside a call that asked for the
     * connection or closed it.
     */
    private void onConnectDone(EventLoop loop, Future<?> connected) {
        if (!connected.isSuccess()) {
            executeLater(loop, this::onClosed);
        } else if (state != ConnectionState.CLOSED) {
            enter(ConnectionState.IDLE);
            listener.connectionOpened();
        }
    }

    private void onClosed() {
        if (state != ConnectionState.CLOSED) {
            enter(ConnectionState.CLOSED);
            listener.connectionClosed();
        }
    }

    /** Reads in small pieces, for channels whose bodies are streamed. */
    public static AdaptiveRecvByteBufAllocator smallReadAllocator() {
        return new AdaptiveRecvByteBufAllocator(
                MIN_READ_BYTES, FIRST_READ_BYTES, StreamingSettings.READ_BYTES);
    }

    private static void executeLater(EventLoop loop, Runnable task) {
        if (!loop.isShuttingDown()) {
            loop.execute(task);
        }
    }

    /**
     * Whether a further request can be sent, after reading what has arrived so far: bytes or an end
     * that still wait in the socket would be taken for the next response. Not to be called from the
     * listener's methods.
     */
    public boolean isReusable() {
        if (!state.expectsInput()) {
            readAvailable();
        }
        return channel.isActive();
    }

    /** Reads what has arrived so far; not to be called from the listener's methods. */
    public void readAvailable() {
        readAvailableFrom(channel);
    }

    /** Reads what a socket has received, an end too, before the loop comes to it. */
    public static void readAvailableFrom(Channel channel) {
        if (channel.isActive() && channel instanceof AbstractNioChannel nio) {
            nio.unsafe().read();
        }
    }

    /**
     * Sends a request whose response is collected.
     *
     * @param request ownership passes to the connection
     */
    public void send(FullHttpRequest request) {
        send(request, 0);
    }

    /**
     * Sends a request; {@link HttpConnectionListener#requestWritten} follows if it reaches the
     * network, and otherwise the connection is closed.
     *
     * @param request ownership passes to the connection
     * @param maxStreamedBytes largest response that is streamed as it arrives; 0 to collect it
     */
    public void send(FullHttpRequest request, long maxStreamedBytes) {
        expectResponse(maxStreamedBytes);
        channel.writeAndFlush(request)
                .addListener(
                        written -> {
                            if (written.isSuccess()) {
                                listener.requestWritten();
                            } else {
                                channel.close();
                            }
                        });
    }

    /**
     * Writes, without a flush, the head of a request whose body is streamed. The caller writes the
     * body to the channel returned, and knows when its last byte is written.
     *
     * @param maxStreamedBytes as for {@link #send(FullHttpRequest, long)}
     */
    public Channel sendHead(HttpRequest head, long maxStreamedBytes) {
        expectResponse(maxStreamedBytes);
        channel.write(head)
                .addListener(
                        written -> {
                            if (!written.isSuccess()) {
                                channel.close();
                            }
                        });
        return channel;
    }

    /** Back-pressure: whether the socket is read. */
    public void setReading(boolean reading) {
        channel.config().setAutoRead(reading);
    }

    /** Closes the connection; its end is reported in a later task. */
    public void close() {
        channel.close();
    }

    private void expectResponse(long maxBytes) {
        enter(ConnectionState.AWAITING_RESPONSE);
        maxStreamedBytes = maxBytes;
    }

    /**
     * Changes the state. {@code CLOSED} is final: what a closed connection is still asked to do has
     * no effect, as the channel refuses it.
     */
    void enter(ConnectionState next) {
        if (state == ConnectionState.CLOSED) {
            return;
        }
        assert state.canBecome(next) : "HTTP connection: " + state + " cannot become " + next;
        state = next;
    }

    ConnectionState state() {
        return state;
    }

    HttpConnectionListener listener() {
        return listener;
    }

    ResponseDecoder decoder() {
        return decoder;
    }

    long maxStreamedBytes() {
        return maxStreamedBytes;
    }
}
