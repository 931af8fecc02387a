package sagefall.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import sagefall.buffer.BufferMemory;
import sagefall.streaming.StreamingSettings;

/**
 * An outgoing HTTP/1.1 connection with at most one request outstanding. Responses are buffered
 * completely, or streamed if the request allows that. The close of the connection is reported
 * exactly once. Used on the event loop of the connection only.
 *
 * <p>A response can be attributed to a request only if no other input was under way when the
 * request was written. Therefore a byte that arrives while no request is outstanding closes the
 * connection. A response is reported only when everything that arrived with it has been read. The
 * report says whether surplus bytes followed the response.
 */
public final class HttpClientConnection {

    /** Usual maximum size of a body that is buffered completely, in bytes. */
    public static final int MAX_BODY_BYTES = 64 * 1024;

    private static final int MIN_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2048;

    private static final int READS_PER_ITERATION = 2;

    private static final int MICROS_PER_MILLI = 1000;

    private final BufferMemory memory;
    private final HttpConnectionListener listener;
    private final PartialResponse partialResponse;
    private final ResponseDecoder decoder;
    private final ResponseHandler responseHandler = new ResponseHandler(this);
    private final Channel channel;
    private HttpConnectionState state = HttpConnectionState.CONNECTING;

    /** Whether the last read filled its buffer, so that more input may be pending. */
    private boolean filledReadBuffer;

    /**
     * Maximum length of a streamed response body, in bytes; 0 if the response is buffered
     * completely.
     */
    private long maxStreamedBytes;

    /**
     * Begins to connect.
     *
     * @param maxBodyBytes maximum size, in bytes, of the body of a response that is buffered
     *     completely; a larger body closes the connection
     * @param connectTimeoutMicros timeout for establishing the connection, in microseconds
     * @param memory the memory that counts the buffers of this connection
     * @param buffering how responses are read, and whether a part of a response may be dropped
     */
    public HttpClientConnection(
            EventLoop loop,
            InetSocketAddress address,
            int maxBodyBytes,
            long connectTimeoutMicros,
            BufferMemory memory,
            ResponseBuffering buffering,
            HttpConnectionListener listener) {
        this.memory = memory;
        this.listener = listener;
        partialResponse = new PartialResponse(this, memory);
        decoder = new ResponseDecoder(partialResponse.fieldMemory());
        int connectTimeoutMillis = (int) Math.max(1, connectTimeoutMicros / MICROS_PER_MILLI);
        Bootstrap bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.ALLOCATOR, memory.allocator())
                        .option(ChannelOption.TCP_NODELAY, true)
                        // Without this option, a half-close and a reset could not be distinguished.
                        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
                        .handler(new ConnectionInitializer(this, maxBodyBytes));
        if (buffering == ResponseBuffering.DROPPABLE) {
            bootstrap.option(
                    ChannelOption.RECVBUF_ALLOCATOR,
                    smallReadAllocator(StreamingSettings.READ_BYTES));
            memory.register(partialResponse);
        }
        ChannelFuture connecting = bootstrap.connect(address);
        channel = connecting.channel();
        connecting.addListener(connected -> onConnectDone(loop, connected));
        channel.closeFuture().addListener(closed -> executeLater(loop, this::onClosed));
    }

    /**
     * Reports the result of connecting. If no file descriptor is free, no channel is opened, and
     * this method is called on another thread. A failure is reported in a separate task on the
     * event loop. Thus a failure is never reported during a call that creates or closes the
     * connection.
     */
    private void onConnectDone(EventLoop loop, Future<?> connected) {
        if (!connected.isSuccess()) {
            executeLater(loop, this::onClosed);
        } else if (state != HttpConnectionState.CLOSED) {
            enter(HttpConnectionState.IDLE);
            listener.connectionOpened();
        }
    }

    private void onClosed() {
        if (state != HttpConnectionState.CLOSED) {
            enter(HttpConnectionState.CLOSED);
            memory.unregister(partialResponse);
            listener.connectionClosed();
        }
    }

    /**
     * Returns an allocator that limits the bytes that are read from a channel in one iteration of
     * the event loop. Other channels then wait for a bounded time however many send at full speed,
     * a read pins little memory beyond its bytes, and few bytes are read beyond the high watermark
     * of a stream.
     *
     * @param maxReadBytes maximum length of a read, in bytes
     */
    public static RecvByteBufAllocator smallReadAllocator(int maxReadBytes) {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, maxReadBytes)
                .maxMessagesPerRead(READS_PER_ITERATION);
    }

    private static void executeLater(EventLoop loop, Runnable task) {
        if (!loop.isShuttingDown()) {
            loop.execute(task);
        }
    }

    /**
     * Returns whether a further request can be sent. First reads what has arrived so far, because
     * unread bytes, or an unread end of the input, would otherwise be treated as the next response.
     * Must not be called from the listener's methods.
     */
    public boolean isReusable() {
        if (!state.expectsInput()) {
            readAvailable();
        }
        return channel.isActive();
    }

    /** Reads what has arrived so far. Must not be called from the listener's methods. */
    public void readAvailable() {
        filledReadBuffer = false;
        readAvailableFrom(channel);
    }

    /** Reads a socket's pending input, including its end, without waiting for the event loop. */
    public static void readAvailableFrom(Channel channel) {
        if (channel.isActive() && channel instanceof AbstractNioChannel nio) {
            nio.unsafe().read();
        }
    }

    /**
     * Sends a request whose response is buffered completely.
     *
     * @param request ownership passes to the connection
     */
    public void send(FullHttpRequest request) {
        send(request, 0);
    }

    /**
     * Sends a request. {@link HttpConnectionListener#requestWritten} is called when the request has
     * been passed to the network. If the request cannot be written, the connection is closed.
     *
     * @param request ownership passes to the connection
     * @param maxStreamedBytes maximum length, in bytes, of a response body that is streamed; 0 if
     *     the response is buffered completely
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
     * Writes the head of a request whose body is streamed, without flushing it. The caller writes
     * the body to the returned channel. The caller must also observe these writes, because {@link
     * HttpConnectionListener#requestWritten} is not called.
     *
     * @param maxStreamedBytes maximum length, in bytes, of a response body that is streamed; 0 if
     *     the response is buffered completely
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

    /** Pauses or resumes reading from the socket, for back-pressure. */
    public void setReading(boolean reading) {
        channel.config().setAutoRead(reading);
    }

    /** Closes the connection; the close is reported in a later task. */
    public void close() {
        channel.close();
    }

    private void expectResponse(long newMaxStreamedBytes) {
        enter(HttpConnectionState.AWAITING_RESPONSE);
        maxStreamedBytes = newMaxStreamedBytes;
        partialResponse.begin();
    }

    /** Records that bytes of a response have been read. The bytes remain owned by the caller. */
    void bytesReceived(ByteBuf bytes) {
        filledReadBuffer = !bytes.isWritable();
        partialResponse.bytesReceived(bytes.readableBytes());
    }

    /** Returns whether the last read filled its buffer, so that more input may be pending. */
    boolean hasFilledReadBuffer() {
        return filledReadBuffer;
    }

    /** Drops buffers of connections if all of them together hold too much. */
    void enforceBufferLimit() {
        memory.enforceLimit();
    }

    /** Frees what has been read of a response and closes the connection. */
    void stopReading() {
        responseHandler.releaseCollected();
        channel.close();
        channel.pipeline().remove(decoder);
        channel.pipeline().remove(ResponseAggregator.class);
    }

    /**
     * Changes the state. {@code CLOSED} is final: later transitions are ignored, because a closed
     * channel rejects all operations.
     */
    void enter(HttpConnectionState next) {
        if (state == HttpConnectionState.CLOSED) {
            return;
        }
        assert state.canBecome(next) : "HTTP connection: " + state + " cannot become " + next;
        state = next;
        partialResponse.fieldMemory().clear();
    }

    HttpConnectionState state() {
        return state;
    }

    HttpConnectionListener listener() {
        return listener;
    }

    ResponseDecoder decoder() {
        return decoder;
    }

    ResponseHandler responseHandler() {
        return responseHandler;
    }

    long maxStreamedBytes() {
        return maxStreamedBytes;
    }
}
