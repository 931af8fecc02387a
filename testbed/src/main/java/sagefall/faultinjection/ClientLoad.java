package sagefall.faultinjection;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import sagefall.faultinjection.history.ResponseStatus;

/**
 * The client application beside one sidecar. Each connection carries one request at a time. If all
 * open connections are busy, the application opens a new one.
 *
 * <p>A connection that has carried an earlier request may close before the first byte of the next
 * response. The request is then resent once, on a new connection.
 */
final class ClientLoad {

    /**
     * The result of a request.
     *
     * @param status HTTP status code, or a constant of {@link ResponseStatus}
     * @param retryMicros delay from the Retry-After header in microseconds; 0 without the header
     * @param body body of the response
     */
    record RequestResult(int status, long retryMicros, String body) {}

    /**
     * How a request is written.
     *
     * @param durationMicros time from the first byte to the last byte, in microseconds; 0 to write
     *     the request at once. A slow request has a connection of its own
     * @param onWritten task that runs on the event loop when the last byte of a slow request has
     *     been written
     */
    record SlowWrite(long durationMicros, Runnable onWritten) {}

    /** A request of the client application, and the connection on which it was sent. */
    static final class Exchange {
        private final String path;
        private final Map<String, String> headers;
        private final byte[] body;
        private final SlowWrite slowWrite;
        private final Consumer<RequestResult> listener;
        private Channel channel;
        private boolean resent;
        private boolean ended;

        private Exchange(
                String path,
                Map<String, String> headers,
                byte[] body,
                SlowWrite slowWrite,
                Consumer<RequestResult> listener) {
            this.path = path;
            this.headers = headers;
            this.body = body;
            this.slowWrite = slowWrite;
            this.listener = listener;
        }

        private boolean isSlow() {
            return slowWrite.durationMicros > 0;
        }

        private void end(RequestResult result) {
            if (!ended) {
                ended = true;
                listener.accept(result);
            }
        }
    }

    private static final int MAX_RESPONSE_BYTES = 64 * 1024;

    /** Number of pieces in which the body of a slow request is written. */
    private static final int SLOW_WRITE_PIECES = 20;

    private final EventLoop loop;
    private final InetSocketAddress sidecar;
    private final ArrayDeque<Channel> idle = new ArrayDeque<>();

    ClientLoad(EventLoop loop, InetSocketAddress sidecar) {
        this.loop = loop;
        this.sidecar = sidecar;
    }

    /**
     * Sends a POST request. The listener is called once with the result on the event loop, unless
     * the client disconnects first.
     */
    Exchange post(
            String path,
            Map<String, String> headers,
            byte[] body,
            SlowWrite slowWrite,
            Consumer<RequestResult> listener) {
        Exchange exchange = new Exchange(path, headers, body, slowWrite, listener);
        loop.execute(
                () -> {
                    Channel open = exchange.isSlow() ? null : idle.pollFirst();
                    while (open != null && !open.isActive()) {
                        open = idle.pollFirst();
                    }
                    if (open == null) {
                        connect(exchange);
                    } else {
                        send(open, exchange);
                    }
                });
        return exchange;
    }

    /** Closes the connection of a request. The listener of the request is not called afterwards. */
    void disconnect(Exchange exchange) {
        loop.execute(
                () -> {
                    exchange.ended = true;
                    if (exchange.channel != null) {
                        exchange.channel.close();
                    }
                });
    }

    /** Closes the idle connections. */
    void close() {
        loop.execute(() -> idle.forEach(Channel::close));
    }

    private void connect(Exchange exchange) {
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel c) {
                                Connection connection = new Connection();
                                c.pipeline()
                                        .addLast(
                                                connection.responseStartDetector,
                                                new HttpClientCodec(),
                                                new HttpObjectAggregator(MAX_RESPONSE_BYTES),
                                                connection);
                            }
                        })
                .connect(sidecar)
                .addListener(
                        (ChannelFutureListener)
                                f -> {
                                    if (!f.isSuccess()) {
                                        exchange.end(
                                                new RequestResult(
                                                        ResponseStatus.UNREACHABLE, 0, ""));
                                    } else if (exchange.ended) {
                                        f.channel().close();
                                    } else {
                                        send(f.channel(), exchange);
                                    }
                                });
    }

    private void send(Channel channel, Exchange exchange) {
        Connection connection = channel.pipeline().get(Connection.class);
        connection.current = exchange;
        connection.responseStarted = false;
        exchange.channel = channel;
        DefaultHttpRequest head =
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, exchange.path);
        head.headers().set("Host", "sidecar").set("Content-Length", exchange.body.length);
        exchange.headers.forEach(head.headers()::set);
        channel.write(head);
        if (exchange.isSlow()) {
            channel.flush();
            writePiece(channel, exchange, 0);
        } else {
            channel.writeAndFlush(
                    new DefaultLastHttpContent(Unpooled.wrappedBuffer(exchange.body)));
        }
    }

    /** Writes a piece of the body of a slow request, and schedules the next piece. */
    private void writePiece(Channel channel, Exchange exchange, int piece) {
        if (exchange.ended || !channel.isActive()) {
            return;
        }
        int from = exchange.body.length * piece / SLOW_WRITE_PIECES;
        int to = exchange.body.length * (piece + 1) / SLOW_WRITE_PIECES;
        ByteBuf bytes = Unpooled.wrappedBuffer(exchange.body, from, to - from);
        if (piece == SLOW_WRITE_PIECES - 1) {
            channel.writeAndFlush(new DefaultLastHttpContent(bytes))
                    .addListener(written -> reportWritten(exchange, written.isSuccess()));
            return;
        }
        channel.writeAndFlush(new DefaultHttpContent(bytes));
        loop.schedule(
                () -> writePiece(channel, exchange, piece + 1),
                exchange.slowWrite.durationMicros / (SLOW_WRITE_PIECES - 1),
                TimeUnit.MICROSECONDS);
    }

    private static void reportWritten(Exchange exchange, boolean success) {
        if (success && !exchange.ended) {
            exchange.slowWrite.onWritten.run();
        }
    }

    /** A connection to the sidecar, with at most one request in flight. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private Exchange current;

        /** Whether an earlier request has completed on this connection. */
        private boolean used;

        private boolean responseStarted;

        /** Detects the first bytes of a response, before the response is complete. */
        private final ChannelInboundHandlerAdapter responseStartDetector =
                new ChannelInboundHandlerAdapter() {
                    @Override
                    public void channelRead(ChannelHandlerContext context, Object message) {
                        responseStarted = true;
                        context.fireChannelRead(message);
                    }
                };

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            Exchange exchange = current;
            current = null;
            used = true;
            if (exchange == null) {
                context.close();
                return;
            }
            if (HttpUtil.isKeepAlive(response)) {
                idle.addFirst(context.channel());
            } else {
                context.close();
            }
            String retryAfter = response.headers().get("Retry-After", "0");
            exchange.end(
                    new RequestResult(
                            response.status().code(),
                            (long) (1e6 * Double.parseDouble(retryAfter)),
                            response.content().toString(StandardCharsets.US_ASCII)));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            idle.remove(context.channel());
            Exchange exchange = current;
            current = null;
            if (exchange == null || exchange.ended) {
                return;
            }
            if (used && !responseStarted && !exchange.resent) {
                exchange.resent = true;
                connect(exchange);
            } else {
                exchange.end(new RequestResult(ResponseStatus.NO_RESPONSE, 0, ""));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
