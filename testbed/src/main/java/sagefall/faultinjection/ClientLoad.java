package sagefall.faultinjection;

import io.netty.bootstrap.Bootstrap;
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
import io.netty.handler.codec.http.DefaultFullHttpRequest;
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
import java.util.function.Consumer;
import sagefall.faultinjection.history.AnswerStatus;

/**
 * The application beside one sidecar, as the protocol has it: one request at a time on a
 * connection, more connections when all are busy, and, where a connection that was in use before
 * closes under a request with no byte answered, the same request once more on a new one.
 */
final class ClientLoad {

    /**
     * What came of a request.
     *
     * @param status of HTTP, or one of {@link AnswerStatus}
     * @param retryMicros what Retry-After says; 0 if it is missing
     * @param body the text of the answer
     */
    record Reply(int status, long retryMicros, String body) {}

    /** A request in flight. */
    static final class Exchange {
        private final String path;
        private final Map<String, String> headers;
        private final byte[] body;
        private final Consumer<Reply> listener;
        private Channel channel;
        private boolean resent;
        private boolean ended;

        private Exchange(
                String path, Map<String, String> headers, byte[] body, Consumer<Reply> listener) {
            this.path = path;
            this.headers = headers;
            this.body = body;
            this.listener = listener;
        }

        private void end(Reply reply) {
            if (!ended) {
                ended = true;
                listener.accept(reply);
            }
        }
    }

    private static final int MAX_ANSWER_BYTES = 64 * 1024;

    private final EventLoop loop;
    private final InetSocketAddress sidecar;
    private final ArrayDeque<Channel> idle = new ArrayDeque<>();

    ClientLoad(EventLoop loop, InetSocketAddress sidecar) {
        this.loop = loop;
        this.sidecar = sidecar;
    }

    /** Sends a POST; the reply is given on the event loop, once. */
    Exchange post(String path, Map<String, String> headers, byte[] body, Consumer<Reply> listener) {
        Exchange exchange = new Exchange(path, headers, body, listener);
        loop.execute(
                () -> {
                    Channel open = idle.pollFirst();
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

    /** Closes the connection of a request; it gets no reply. */
    void abandon(Exchange exchange) {
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
                                                connection.bytes,
                                                new HttpClientCodec(),
                                                new HttpObjectAggregator(MAX_ANSWER_BYTES),
                                                connection);
                            }
                        })
                .connect(sidecar)
                .addListener(
                        (ChannelFutureListener)
                                f -> {
                                    if (!f.isSuccess()) {
                                        exchange.end(new Reply(AnswerStatus.UNREACHABLE, 0, ""));
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
        connection.answering = false;
        exchange.channel = channel;
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.POST,
                        exchange.path,
                        Unpooled.wrappedBuffer(exchange.body));
        request.headers().set("Host", "sidecar").set("Content-Length", exchange.body.length);
        exchange.headers.forEach(request.headers()::set);
        channel.writeAndFlush(request);
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private Exchange current;
        private boolean used;
        private boolean answering;

        /** Notices that an answer has begun, before it is complete. */
        private final ChannelInboundHandlerAdapter bytes =
                new ChannelInboundHandlerAdapter() {
                    @Override
                    public void channelRead(ChannelHandlerContext context, Object message) {
                        answering = true;
                        context.fireChannelRead(message);
                    }
                };

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse answer) {
            Exchange exchange = current;
            current = null;
            used = true;
            if (exchange == null) {
                context.close();
                return;
            }
            if (HttpUtil.isKeepAlive(answer)) {
                idle.addFirst(context.channel());
            } else {
                context.close();
            }
            String retry = answer.headers().get("Retry-After", "0");
            exchange.end(
                    new Reply(
                            answer.status().code(),
                            (long) (1e6 * Double.parseDouble(retry)),
                            answer.content().toString(StandardCharsets.US_ASCII)));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            idle.remove(context.channel());
            Exchange exchange = current;
            current = null;
            if (exchange == null || exchange.ended) {
                return;
            }
            if (used && !answering && !exchange.resent) {
                exchange.resent = true;
                connect(exchange);
            } else {
                exchange.end(new Reply(AnswerStatus.BROKEN, 0, ""));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
