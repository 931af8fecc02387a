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

/**
 * The application beside one sidecar, as the protocol has it: one request at a time on a
 * connection, more connections when all are busy, and, where a connection that was in use before
 * closes under a request with no byte answered, the same request once more on a new one.
 */
final class ClientLoad {

    /**
     * Status of an answer: a connection that was not accepted, and one that ended without an
     * answer.
     */
    static final int UNREACHABLE = -1;

    static final int BROKEN = 0;

    /** What came; microseconds to come back in, 0 where none were told. */
    record Reply(int status, long retryMicros, String body) {}

    /** A request in hand. */
    static final class Exchange {
        private final String path;
        private final Map<String, String> headers;
        private final byte[] body;
        private final Consumer<Reply> taker;
        private Channel channel;
        private boolean again;
        private boolean over;

        private Exchange(
                String path, Map<String, String> headers, byte[] body, Consumer<Reply> taker) {
            this.path = path;
            this.headers = headers;
            this.body = body;
            this.taker = taker;
        }

        private void end(Reply reply) {
            if (!over) {
                over = true;
                taker.accept(reply);
            }
        }
    }

    private final EventLoop loop;
    private final InetSocketAddress sidecar;
    private final ArrayDeque<Channel> idle = new ArrayDeque<>();

    ClientLoad(EventLoop loop, InetSocketAddress sidecar) {
        this.loop = loop;
        this.sidecar = sidecar;
    }

    /** Sends a POST; the reply is given on the event loop, once. */
    Exchange post(String path, Map<String, String> headers, byte[] body, Consumer<Reply> taker) {
        Exchange exchange = new Exchange(path, headers, body, taker);
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

    /** The client leaves: it closes its connection and waits for nothing more. */
    void leave(Exchange exchange) {
        loop.execute(
                () -> {
                    exchange.over = true;
                    if (exchange.channel != null) {
                        exchange.channel.close();
                    }
                });
    }

    /** Closes what is idle. */
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
                                                new HttpObjectAggregator(64 * 1024),
                                                connection);
                            }
                        })
                .connect(sidecar)
                .addListener(
                        (ChannelFutureListener)
                                f -> {
                                    if (!f.isSuccess()) {
                                        exchange.end(new Reply(UNREACHABLE, 0, ""));
                                    } else if (exchange.over) {
                                        f.channel().close();
                                    } else {
                                        send(f.channel(), exchange);
                                    }
                                });
    }

    private void send(Channel channel, Exchange exchange) {
        Connection connection = channel.pipeline().get(Connection.class);
        connection.now = exchange;
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
        private Exchange now;
        private boolean used;
        private boolean answering;

        /** Sees that an answer has begun, before it can be read. */
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
            Exchange exchange = now;
            now = null;
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
            Exchange exchange = now;
            now = null;
            if (exchange == null || exchange.over) {
                return;
            }
            if (used && !answering && !exchange.again) {
                exchange.again = true;
                connect(exchange);
            } else {
                exchange.end(new Reply(BROKEN, 0, ""));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
