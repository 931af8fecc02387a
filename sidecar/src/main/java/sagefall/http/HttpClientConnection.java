package sagefall.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.List;
import sagefall.streaming.StreamingSettings;

/**
 * One outgoing HTTP/1.1 connection. It collects whole answers, and tells of its end exactly once.
 *
 * <p>An answer belongs to a request only if nothing else was on its way when the request was
 * written. So an answer is told when all that came with it has been read, with word on whether
 * anything was left over; and a byte that nobody asked for ends the connection.
 */
public final class HttpClientConnection {

    /** Largest body that is passed on. */
    public static final int MAX_BODY = 64 * 1024;

    private final Channel channel;
    private final HttpConnectionListener owner;
    private final Decoder decoder = new Decoder();

    /** A request has been sent and its answer not been told. */
    private boolean asked;

    /** Largest answer that passes through as it arrives; 0 where it is collected. */
    private long mostStreamed;

    private boolean down;

    /**
     * Shows whether it holds a part of a further message, and takes no line of a head without a
     * colon.
     */
    private static final class Decoder extends HttpResponseDecoder {
        private boolean begun;

        @Override
        protected HttpMessage createMessage(String[] initialLine) {
            begun = true;
            return super.createMessage(initialLine);
        }

        /** A whole message has been handed on; what is decoded from now on is another. */
        void ended() {
            begun = false;
        }

        boolean isEmpty() {
            return !begun && actualReadableBytes() == 0;
        }

        /**
         * In answers, though not in requests, a name may end with a space, and the colon may lack.
         */
        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int length) {
            if (start + length >= line.length || line[start + length] != ':') {
                throw new IllegalArgumentException("no colon behind a header's name");
            }
            return super.splitHeaderName(line, start, length);
        }
    }

    public HttpClientConnection(
            EventLoop loop,
            InetSocketAddress to,
            int maxBody,
            long connectMicros,
            HttpConnectionListener owner) {
        this(loop, to, maxBody, connectMicros, false, owner);
    }

    /**
     * One that streams may pass over is read in small pieces, so that few bytes come past a
     * watermark.
     */
    public HttpClientConnection(
            EventLoop loop,
            InetSocketAddress to,
            int maxBody,
            long connectMicros,
            boolean streams,
            HttpConnectionListener owner) {
        this.owner = owner;
        Bootstrap bootstrap = new Bootstrap();
        if (streams) {
            bootstrap.option(ChannelOption.RECVBUF_ALLOCATOR, smallReads());
        }
        ChannelFuture connecting =
                bootstrap
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        // Else an end that the server said and a reset would look alike.
                        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                        .option(
                                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                (int) Math.max(1, connectMicros / 1000))
                        .handler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(Channel c) {
                                        c.pipeline()
                                                .addLast(
                                                        new Gate(),
                                                        decoder,
                                                        new HttpRequestEncoder(),
                                                        new Aggregator(maxBody),
                                                        new Answers());
                                    }
                                })
                        .connect(to);
        channel = connecting.channel();
        // Without a free descriptor there is no channel at all, and the failure comes on another
        // thread. The
        // end is told by a task of its own, so never inside a call that asked for the link or
        // closed it.
        connecting.addListener(
                f -> {
                    if (!f.isSuccess()) {
                        later(loop, this::down);
                    } else if (!down) {
                        owner.opened();
                    }
                });
        channel.closeFuture().addListener(f -> later(loop, this::down));
    }

    public static AdaptiveRecvByteBufAllocator smallReads() {
        return new AdaptiveRecvByteBufAllocator(64, 2048, StreamingSettings.READ_BYTES);
    }

    private static void later(EventLoop loop, Runnable task) {
        if (!loop.isShuttingDown()) {
            loop.execute(task);
        }
    }

    /**
     * Whether it is up and clean, seen with all that has come so far: bytes or an end that still
     * wait in the socket would be taken for the next answer. Not to be called from what this link
     * tells.
     */
    public boolean usable() {
        if (!asked) {
            catchUp();
        }
        return channel.isActive();
    }

    /** Takes in all that has come so far; not to be called from what this link tells. */
    public void catchUp() {
        readNow(channel);
    }

    /** Reads what waits in a socket, an end too, without waiting for the loop to come to it. */
    public static void readNow(Channel channel) {
        if (channel.isActive() && channel instanceof AbstractNioChannel nio) {
            nio.unsafe().read();
        }
    }

    public void send(FullHttpRequest request) {
        send(request, 0);
    }

    /** With an answer that passes through as it arrives, up to a length. */
    public void send(FullHttpRequest request, long mostStreamed) {
        asked = true;
        this.mostStreamed = mostStreamed;
        channel.writeAndFlush(request)
                .addListener(
                        f -> {
                            if (f.isSuccess()) {
                                owner.written();
                            } else {
                                channel.close();
                            }
                        });
    }

    /**
     * Sends the head of a request whose body passes through; who sends the body tells that it is
     * written.
     */
    public Channel begin(HttpRequest head, long mostStreamed) {
        asked = true;
        this.mostStreamed = mostStreamed;
        channel.write(head)
                .addListener(
                        f -> {
                            if (!f.isSuccess()) {
                                channel.close();
                            }
                        });
        return channel;
    }

    /** Whether what comes is to be read. */
    public void read(boolean on) {
        channel.config().setAutoRead(on);
    }

    public void close() {
        channel.close();
    }

    private void down() {
        if (!down) {
            down = true;
            owner.closed();
        }
    }

    /** Lets nothing in that was not asked for. */
    private final class Gate extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
            if (asked) {
                context.fireChannelRead(bytes);
            } else {
                ReferenceCountUtil.release(bytes);
                context.close();
            }
        }
    }

    /** Collects answers, but for the one that passes through. */
    private final class Aggregator extends HttpObjectAggregator {
        private boolean passing;

        Aggregator(int maxBody) {
            super(maxBody);
        }

        @Override
        public boolean acceptInboundMessage(Object message) throws Exception {
            if (message instanceof HttpResponse head) {
                passing =
                        mostStreamed > 0
                                && head.status().equals(HttpResponseStatus.OK)
                                && !(message instanceof FullHttpResponse);
            }
            return !passing && super.acceptInboundMessage(message);
        }
    }

    private final class Answers extends SimpleChannelInboundHandler<HttpObject> {
        /** Whole, and told once all is read that came with it. */
        private FullHttpResponse whole;

        /**
         * The answer that passes through: what it may still bring, and its trailers once it is
         * whole.
         */
        private boolean passing;

        private long left;
        private HttpHeaders trailers;
        private boolean more;

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            if (message instanceof FullHttpResponse answer) {
                collected(context, answer);
            } else if (message instanceof HttpResponse head) {
                begin(context, head);
            } else if (message instanceof HttpContent part) {
                pass(context, part);
            }
        }

        /**
         * Only an answer whose end is told can be known to be whole; one that is too long is none.
         */
        private void begin(ChannelHandlerContext context, HttpResponse head) {
            HttpHeaders headers = head.headers();
            List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
            boolean chunked =
                    codings.size() == 1
                            && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(
                                    codings.get(0).trim());
            long length = HttpUtil.getContentLength(head, -1L);
            if (whole != null || passing || trailers != null) {
                more = true;
            } else if (head.decoderResult().isFailure()
                    || length > mostStreamed
                    || (codings.isEmpty() ? length < 0 : !chunked || length >= 0)) {
                context.close();
            } else {
                passing = true;
                left = mostStreamed;
                owner.began(head);
            }
        }

        private void pass(ChannelHandlerContext context, HttpContent part) {
            if (!passing) {
                more = true;
                return;
            }
            left -= part.content().readableBytes();
            if (part.decoderResult().isFailure() || left < 0) {
                passing = false;
                context.close();
                return;
            }
            if (part.content().isReadable()) {
                owner.part(part.content().retain());
            }
            if (part instanceof LastHttpContent last) {
                decoder.ended();
                passing = false;
                trailers = last.trailingHeaders();
            }
        }

        private void collected(ChannelHandlerContext context, FullHttpResponse answer) {
            decoder.ended();
            if (trailers != null || passing) {
                more = true;
                return;
            }
            if (whole != null) {
                more = true;
            } else if (answer.status().codeClass() == HttpStatusClass.INFORMATIONAL
                    && !answer.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
                // One or more of them may go ahead of the answer.
                return;
            } else if (answer.decoderResult().isFailure()
                    || !channel.isActive()
                    || answer.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                // A body that only the end of the connection bounds is whole where the server has
                // said that
                // end (RFC 9112, 6.3); on a closed channel, as after a reset, that is not known.
                // After a
                // change of protocol no answer comes.
                context.close();
            } else {
                whole = answer.retain();
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            if (passing || trailers != null) {
                owner.flush();
            }
            if (trailers != null) {
                HttpHeaders last = trailers;
                trailers = null;
                asked = false;
                owner.finished(last, clean());
            } else if (whole != null) {
                FullHttpResponse answer = whole;
                whole = null;
                asked = false;
                try {
                    owner.answered(answer, clean());
                } finally {
                    answer.release();
                }
            }
            context.fireChannelReadComplete();
        }

        private boolean clean() {
            return !more
                    && decoder.isEmpty()
                    && channel.isActive()
                    && !((SocketChannel) channel).isInputShutdown();
        }

        /**
         * The server has said that nothing more comes; an answer that this end makes whole has been
         * told.
         */
        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof ChannelInputShutdownEvent) {
                context.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            more = true;
            context.close();
        }
    }
}
