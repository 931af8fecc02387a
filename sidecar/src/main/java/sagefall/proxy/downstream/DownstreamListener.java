package sagefall.proxy.downstream;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
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
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import sagefall.http.HttpClientConnection;
import sagefall.http.ProtocolHeaders;
import sagefall.proxy.LoopLatencyClock;
import sagefall.proxy.ProxiedRequest;
import sagefall.streaming.BufferAccounting;
import sagefall.streaming.FlowControl;
import sagefall.streaming.StreamedUpload;
import sagefall.streaming.StreamingSettings;

/**
 * The listening side: reads clients' requests, writes their answers, and closes down without losing
 * any.
 */
public final class DownstreamListener {

    private static final int BACKLOG = 1_024;

    /** Most connections taken in one turn of the loop. */
    private static final int ACCEPTS = 64;

    /** From the connection, or from a later request's first byte, to its last one. */
    private static final long REQUEST_MILLIS = 2_000;

    /** Without a request in hand, since the last answer. */
    private static final long IDLE_MILLIS = 5_000;

    /** The same where connections are many. */
    private static final long SURPLUS_MILLIS = 200;

    /** An answer that the client does not take in this time is given up. */
    private static final long WRITE_MILLIS = 5_000;

    /**
     * A rejected client may go on sending for so long, or be quiet for so long: closing with bytes
     * unread resets the connection, and the client could lose the answer.
     */
    private static final long LINGER_MILLIS = 5_000;

    private static final long LINGER_QUIET_MILLIS = 300;

    /** How long new connections go on coming after the end was announced. */
    private static final long ACCEPT_MILLIS = 400;

    /** The same at the most, whoever goes on coming. */
    private static final long LAST_ACCEPT_MILLIS = 1_500;

    /**
     * A new connection has this long to bring its request; as long nothing new may come before the
     * end.
     */
    private static final long QUIET_MILLIS = 100;

    private static final long SWEEP_MILLIS = 25;

    private final EventLoop loop;
    private final LoopLatencyClock turns;
    private final RequestHandler service;
    private final int most;
    private final Consumer<String> log;
    private final Set<Connection> connections = new LinkedHashSet<>();

    /** How many connections are accepted in one turn of the loop. */
    private final ServerChannelRecvByteBufAllocator accepts =
            new ServerChannelRecvByteBufAllocator();

    private Channel listening;
    private boolean ending;
    private long endedAt;
    private StreamingSettings streaming = StreamingSettings.OFF;
    private final BufferAccounting buffers = new BufferAccounting();
    private long acceptedAt = System.nanoTime();
    private long halfClosedAt = acceptedAt;

    public DownstreamListener(
            EventLoop loop,
            LoopLatencyClock turns,
            RequestHandler service,
            int most,
            Consumer<String> log) {
        this.loop = loop;
        this.turns = turns;
        this.service = service;
        this.most = most;
        this.log = log;
    }

    public ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(loop, loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .option(ChannelOption.RECVBUF_ALLOCATOR, accepts)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(Channel c) {
                                        Connection connection = new Connection(c);
                                        if (streaming.isOn()) {
                                            c.config()
                                                    .setRecvByteBufAllocator(
                                                            HttpClientConnection.smallReads());
                                        }
                                        c.pipeline()
                                                .addLast(
                                                        new Gate(connection),
                                                        connection.decoder,
                                                        new HttpResponseEncoder(),
                                                        new Aggregator(connection),
                                                        connection);
                                    }
                                })
                        .bind(address);
        listening = bound.channel();
        loop.scheduleWithFixedDelay(this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
        return bound;
    }

    /** What streams from now on. */
    public void streams(StreamingSettings next) {
        streaming = next;
    }

    /** What bodies that pass through hold. */
    public BufferAccounting buffers() {
        return buffers;
    }

    /** Closes all at once, whoever waits; the address is free when that is done. */
    public ChannelFuture close() {
        List.copyOf(connections).forEach(c -> c.channel.close());
        return listening.close();
    }

    /** Where it listens, once that is so. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    /**
     * Goes on accepting while clients still connect, then ends each connection after its answer.
     * Idle ones are closed before the listening socket, so that a request that crosses the closing
     * can come again.
     */
    public void end(Runnable ended) {
        if (listening == null) {
            ended.run();
            return;
        }
        endedAt = System.nanoTime();
        loop.schedule(
                () -> {
                    ending = true;
                    endQuiet(ended);
                },
                ACCEPT_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void endQuiet(Runnable ended) {
        if (millisSince(endedAt) >= streaming.drainMillis()) {
            List.copyOf(connections).forEach(Connection::cutShort);
        }
        List.copyOf(connections).stream()
                .filter(c -> c.age() > QUIET_MILLIS)
                .forEach(Connection::halfClose);
        if (listening.isOpen() && quiet()) {
            // What waits to be accepted would be reset with the socket.
            listening.config().setAutoRead(true);
            HttpClientConnection.readNow(listening);
            if (quiet()) {
                listening.close();
            }
        }
        if (!listening.isOpen() && connections.isEmpty()) {
            ended.run();
        } else {
            loop.schedule(() -> endQuiet(ended), SWEEP_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Nobody has come for a while, nor been sent away, who would come again. */
    private boolean quiet() {
        return millisSince(Math.max(acceptedAt, halfClosedAt)) > QUIET_MILLIS
                || millisSince(endedAt) > LAST_ACCEPT_MILLIS;
    }

    private static long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }

    /**
     * One look at all connections in place of timers for each, of which a flood would leave
     * thousands.
     */
    private void sweep() {
        for (Connection c : List.copyOf(connections)) {
            c.checkTimes();
        }
        closeSurplus();
        makeRoom();
    }

    /**
     * Past half of the bound what has been idle for a while goes, longest first. Some clients ask
     * once and keep their connection; clients may hold only so many in all, and those that still
     * have something to ask then find none, though the sidecar and its servers have little to do.
     * Against leaks of connections in clients and floods of them too. Harm: a client that asks less
     * often connects anew.
     */
    private void closeSurplus() {
        long surplus = (long) connections.size() - most / 2;
        if (surplus > 0) {
            surplus -= connections.stream().filter(c -> c.state == State.LINGERING).count();
        }
        if (surplus > 0) {
            connections.stream()
                    .filter(c -> c.idleMillis() > SURPLUS_MILLIS)
                    .sorted(Comparator.comparingLong(Connection::idleMillis).reversed())
                    .limit(surplus)
                    .toList()
                    .forEach(Connection::halfClose);
        }
    }

    /**
     * Past the bound a connection that waits for nothing makes room: one that was rejected, one
     * that said nothing at all, or else the one that was answered the longest time ago. Where all
     * are busy, new ones wait to be accepted.
     *
     * <p>Up to the bound all that wait are accepted at once. One in each turn of the loop was too
     * few where turns are long (a cold runtime, no CPU left, a pause): requests then spent their
     * time in the kernel's queue, unseen by the module, which neither refused them nor knew how old
     * they were, and each client that gave up came back behind the others. Harm: a burst gets its
     * descriptors at once, so the bound has to be kept here, not by the pace.
     */
    private void makeRoom() {
        Connection victim = null;
        boolean room = connections.size() < most;
        if (!room) {
            for (Connection c : connections) {
                if (c.evictionRank() > (victim == null ? 0 : victim.evictionRank())) {
                    victim = c;
                }
            }
            room = victim != null && victim.evict();
        }
        accepts.maxMessagesPerRead(Math.max(1, Math.min(ACCEPTS, most - connections.size())));
        listening.config().setAutoRead(room);
    }

    /** Shows whether it holds a part of a further message. */
    private static final class Decoder extends HttpRequestDecoder {
        private boolean begun;

        @Override
        protected HttpMessage createMessage(String[] initialLine) throws Exception {
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
    }

    /** Drops what comes on a rejected connection before anything is spent on it. */
    private static final class Gate extends ChannelInboundHandlerAdapter {
        private final Connection connection;

        Gate(Connection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
            if (connection.lets()) {
                context.fireChannelRead(bytes);
            } else {
                ReferenceCountUtil.release(bytes);
            }
        }
    }

    /**
     * Collects whole requests, but for a body that passes through; ends the connection after one
     * too large.
     */
    private static final class Aggregator extends HttpObjectAggregator {
        private final Connection connection;
        private boolean passing;

        Aggregator(Connection connection) {
            super(HttpClientConnection.MAX_BODY, true);
            this.connection = connection;
        }

        @Override
        public boolean acceptInboundMessage(Object message) throws Exception {
            if (message instanceof HttpRequest head) {
                passing =
                        !(message instanceof FullHttpRequest) && connection.mostUploaded(head) > 0;
            }
            return !passing && super.acceptInboundMessage(message);
        }

        @Override
        protected void handleOversizedMessage(
                ChannelHandlerContext context, HttpMessage oversized) {
            connection.reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
        }
    }

    /**
     * What a client's connection is about. Bytes: RESTING and ANSWERING go over to READING; in
     * IN_HAND, but for an upload, they are one request too many; in LINGERING, and ANSWERING for
     * the last time, they are thrown away. The client's end closes it in each. SIGTERM, a long rest
     * and want of room end it where it rests, after a last look for bytes; a sweep bounds the time
     * of each of the others.
     */
    private enum State {
        /** Nothing of a request has come since it was accepted or answered. */
        RESTING,
        /** A request has come in part, or whole in this very turn. */
        READING,
        /** A request waits for its answer, or its answer passes through. */
        IN_HAND,
        /** A whole answer is being written. */
        ANSWERING,
        /** Its output is shut; it is read until the client closes too. */
        LINGERING
    }

    /**
     * A client's connection; it carries one request at a time. A request is taken once all that
     * came with it has been read: bytes behind it mean that its end is not where it says, or that
     * it is not alone.
     */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
        private final Channel channel;
        private final Decoder decoder = new Decoder();

        /** Since when it may have waited to be accepted, and in which turn it was. */
        private final long waitedSince = turns.since();

        private final long acceptedIn = turns.number();
        private final long openedAt = System.nanoTime();

        /** Waits for the answer to the request in hand. */
        private Exchange client;

        private FullHttpRequest whole;

        /**
         * The end of a body that passes through, until it is seen that nothing stands behind it.
         */
        private LastHttpContent last;

        private boolean more;
        private State state = State.RESTING;

        /** When the state began; of the first request's, when the connection was accepted. */
        private long since = openedAt;

        private long heardAt;

        /** It has carried a request, and is to end behind the answer that is being written. */
        private boolean used;

        private boolean ends;

        Connection(Channel channel) {
            this.channel = channel;
        }

        private long age() {
            return millisSince(openedAt);
        }

        private void enter(State next) {
            state = next;
            since = System.nanoTime();
        }

        /** Nothing that comes counts any more. */
        private boolean deaf() {
            return state == State.LINGERING || (state == State.ANSWERING && ends);
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            acceptedAt = openedAt;
            connections.add(this);
            makeRoom();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            connections.remove(this);
            makeRoom();
            release();
            giveUp();
        }

        /** Whether what comes now is to be read. */
        private boolean lets() {
            // Before the bytes are looked at: in a cold process that alone is as long as a sleep.
            turns.since();
            heardAt = System.nanoTime();
            if (state == State.IN_HAND && !client.uploading()) {
                // Clients send one request at a time. What comes behind can't be told from a wrong
                // length of
                // the one in hand, which so is no request either.
                reject(HttpResponseStatus.BAD_REQUEST, "more than one request");
            }
            if (state == State.RESTING && !used) {
                state = State.READING;
            } else if (state == State.RESTING || (state == State.ANSWERING && !ends)) {
                enter(State.READING);
            }
            return !deaf();
        }

        private void giveUp() {
            if (client != null) {
                Exchange gone = client;
                client = null;
                service.left(gone);
            }
        }

        /**
         * Since its last answer, if it waits for nothing and nothing of a request has come; else 0.
         */
        private long idleMillis() {
            return state == State.RESTING && used ? millisSince(since) : 0;
        }

        private void checkTimes() {
            switch (state) {
                case IN_HAND -> {
                    // One whose client was found gone is in hand until its connection's end is
                    // told.
                    if (client != null) {
                        client.checkStalls();
                    }
                }
                case ANSWERING -> closeAfter(since, WRITE_MILLIS);
                case LINGERING -> {
                    closeAfter(since, LINGER_MILLIS);
                    closeAfter(Math.max(heardAt, since), LINGER_QUIET_MILLIS);
                }
                case READING -> {
                    if (millisSince(since) > REQUEST_MILLIS) {
                        reject(
                                HttpResponseStatus.REQUEST_TIMEOUT,
                                "the request did not come whole in time");
                    }
                }
                default -> {
                    if (millisSince(since) > (used ? IDLE_MILLIS : REQUEST_MILLIS)) {
                        halfClose();
                    }
                }
            }
        }

        private void closeAfter(long since, long millis) {
            if (millisSince(since) > millis) {
                channel.close();
            }
        }

        /** Whether it rests, seen with all that has come so far. */
        private boolean stillRests() {
            if (state == State.RESTING) {
                HttpClientConnection.readNow(channel);
            }
            return state == State.RESTING && channel.isActive();
        }

        /**
         * Ends a connection that rests, as HTTP/1.1 asks (RFC 9112, 9.6): says so, then reads until
         * the client has closed too. A request that crosses this is not taken, and its client can
         * tell; a close over its unread bytes would be a reset.
         */
        private void halfClose() {
            if (stillRests()) {
                halfClosedAt = System.nanoTime();
                endOutput();
            }
        }

        private void endOutput() {
            enter(State.LINGERING);
            ((SocketChannel) channel).shutdownOutput();
        }

        /**
         * Ends it at once, since its descriptor is wanted, but where a request has come; whether it
         * has.
         */
        private boolean evict() {
            boolean quiet = state == State.LINGERING || stillRests();
            if (quiet) {
                channel.close();
            }
            return quiet || !channel.isActive();
        }

        /**
         * How well this connection can be spared, by its kind and then by time; 0 where it can't.
         */
        private double evictionRank() {
            int kind =
                    age() <= QUIET_MILLIS
                            ? 0
                            : state == State.LINGERING
                                    ? 3
                                    : state != State.RESTING ? 0 : used ? 1 : 2;
            return kind == 0 ? 0 : kind + 1 - 1 / (1.0 + millisSince(since));
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            if (message instanceof FullHttpRequest http) {
                collected(http);
            } else if (message instanceof HttpRequest head) {
                upload(head);
            } else if (message instanceof HttpContent part) {
                pass(part);
            }
        }

        /**
         * Largest body that passes through; 0 for one that is small or not known to be allowed, or
         * no request.
         */
        private long mostUploaded(HttpRequest head) {
            long most =
                    deaf() || client != null || whole != null || head.decoderResult().isFailure()
                            ? 0
                            : service.uploads(head);
            long length = HttpUtil.getContentLength(head, -1L);
            boolean small =
                    length >= 0
                            ? length <= HttpClientConnection.MAX_BODY
                            : !HttpUtil.isTransferEncodingChunked(head);
            return small || length > most ? 0 : most;
        }

        private void upload(HttpRequest head) {
            long most = mostUploaded(head);
            begin(new Exchange(head));
            client.continues = HttpUtil.is100ContinueExpected(head);
            client.upload = new StreamedUpload(streaming, buffers, most, client::readClient);
            try {
                service.take(head, client.upload, client);
            } catch (RequestParser.BadRequest e) {
                client = null;
                reject(HttpResponseStatus.BAD_REQUEST, e.getMessage());
            }
        }

        private void pass(HttpContent part) {
            if (client == null || !client.uploading() || deaf()) {
                return;
            }
            if (part.decoderResult().isFailure()) {
                reject(HttpResponseStatus.BAD_REQUEST, "not HTTP");
            } else if (part instanceof LastHttpContent end) {
                decoder.ended();
                last = end.retain();
            } else {
                pass(part.content().retain());
            }
        }

        private boolean pass(ByteBuf part) {
            boolean fits = client.upload.part(part);
            if (!fits) {
                reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
            }
            return fits;
        }

        private void collected(FullHttpRequest http) {
            decoder.ended();
            if (whole != null || client != null) {
                more = true;
            } else if (!deaf()) {
                whole = http.retain();
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            if (whole != null) {
                FullHttpRequest http = whole;
                whole = null;
                try {
                    take(http);
                } finally {
                    http.release();
                }
            }
            if (client != null && client.uploading() && !deaf()) {
                client.upload.flush();
                if (last != null) {
                    uploaded();
                }
            }
            context.fireChannelReadComplete();
        }

        /**
         * Its last byte goes on only when nothing stands behind it: until then no server can have
         * run it.
         */
        private void uploaded() {
            LastHttpContent end = last;
            last = null;
            try {
                if (more || !decoder.isEmpty()) {
                    reject(HttpResponseStatus.BAD_REQUEST, "more than one request");
                } else if (pass(end.content().retain())) {
                    client.upload.end(ProtocolHeaders.trailers(end.trailingHeaders()));
                }
            } finally {
                end.release();
            }
        }

        private void take(FullHttpRequest http) {
            if (deaf()) {
                return;
            }
            if (more || !decoder.isEmpty()) {
                reject(HttpResponseStatus.BAD_REQUEST, "more than one request");
                return;
            }
            begin(new Exchange(http));
            if (http.decoderResult().isSuccess() && http.uri().equals("/healthz")) {
                client.answer(
                        service.ready()
                                ? HttpResponseStatus.OK
                                : HttpResponseStatus.SERVICE_UNAVAILABLE,
                        new DefaultHttpHeaders(),
                        Unpooled.EMPTY_BUFFER);
                return;
            }
            try {
                service.take(http, client);
            } catch (RequestParser.BadRequest e) {
                client = null;
                reject(HttpResponseStatus.BAD_REQUEST, e.getMessage());
            }
        }

        private void begin(Exchange next) {
            client = next;
            used = true;
            enter(State.IN_HAND);
        }

        /**
         * Answers what is no request and ends the connection; what still comes on it is thrown
         * away.
         */
        private void reject(HttpResponseStatus status, String why) {
            if (deaf()) {
                return;
            }
            if (client != null && client.bounds != null) {
                client.breakOff();
                return;
            }
            release();
            giveUp();
            channel.config().setAutoRead(true);
            client = new Exchange(null);
            client.answer(
                    status,
                    new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "text/plain"),
                    Unpooled.copiedBuffer(why + "\n", StandardCharsets.UTF_8));
        }

        private void release() {
            ReferenceCountUtil.release(whole);
            ReferenceCountUtil.release(last);
            whole = null;
            last = null;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!channel.isActive() || cause instanceof IOException) {
                context.close();
            } else if (client != null && client.uploading()) {
                reject(HttpResponseStatus.BAD_REQUEST, "not HTTP");
            } else if (client != null) {
                log.accept("client connection: " + cause);
                client.answer(
                        HttpResponseStatus.INTERNAL_SERVER_ERROR,
                        new DefaultHttpHeaders(),
                        Unpooled.EMPTY_BUFFER);
                context.close();
            } else {
                reject(HttpResponseStatus.BAD_REQUEST, "not HTTP");
            }
        }

        /** The time to end is up: what still passes through ends so that its client can tell. */
        private void cutShort() {
            if (client != null && client.bounds != null) {
                client.breakOff();
            } else if (client != null && client.uploading()) {
                reject(HttpResponseStatus.GATEWAY_TIMEOUT, "ended before the body was whole");
            }
        }

        /** One request in hand and its answer; only the first answer counts. */
        private final class Exchange implements ProxiedRequest.Client {
            private final boolean keep;
            private final boolean knowsChunks;

            /**
             * What is read in the turn behind the accepting one may have come with the connection.
             */
            private final long cameAt =
                    turns.number() <= acceptedIn + 1 ? waitedSince : turns.since();

            /**
             * The end of the answer is that of the connection, so only a reset tells that it is not
             * whole.
             */
            private boolean endsByClose;

            /**
             * The body of the request, if it passes through, and whether its client waits to be
             * asked for it.
             */
            private StreamedUpload upload;

            private boolean continues;

            /** Of an answer that passes through, from its beginning on. */
            private StreamingSettings bounds;

            private FlowControl flow;

            /** Without a request that can be read there is nothing to keep the connection for. */
            Exchange(HttpRequest http) {
                keep = http != null && HttpUtil.isKeepAlive(http);
                knowsChunks = http != null && !http.protocolVersion().equals(HttpVersion.HTTP_1_0);
            }

            private boolean uploading() {
                return upload != null && !upload.whole();
            }

            /** Asks for the body, or stops reading it. */
            private void readClient(boolean on) {
                channel.config().setAutoRead(on || client != this);
                if (on && continues && client == this) {
                    continues = false;
                    channel.writeAndFlush(
                            new DefaultFullHttpResponse(
                                    HttpVersion.HTTP_1_1,
                                    HttpResponseStatus.CONTINUE,
                                    Unpooled.EMPTY_BUFFER));
                }
            }

            private void checkStalls() {
                if (uploading() && upload.bringsNothing()) {
                    reject(HttpResponseStatus.REQUEST_TIMEOUT, "the body stopped coming");
                } else if ((upload != null && upload.takesNothing())
                        || (flow != null && flow.bringsNothing())) {
                    service.stalled(this);
                } else if (flow != null && flow.takesNothing()) {
                    reset();
                }
            }

            @Override
            public long waitedMicros() {
                return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - cameAt);
            }

            /** Of an upload the end is not sought: reading it is its flow's. */
            @Override
            public boolean waits() {
                if (client == this && upload == null) {
                    HttpClientConnection.readNow(channel);
                    if (!channel.isActive()) {
                        giveUp();
                    }
                }
                return client == this;
            }

            @Override
            public void begin(
                    HttpHeaders headers,
                    long length,
                    StreamingSettings limits,
                    FlowControl.Source source) {
                if (client != this) {
                    return;
                }
                bounds = limits;
                flow = new FlowControl(limits, buffers, source);
                HttpResponse head =
                        new DefaultHttpResponse(
                                HttpVersion.HTTP_1_1, HttpResponseStatus.OK, headers);
                endsByClose = length < 0 && !knowsChunks;
                if (length < 0 && knowsChunks) {
                    head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
                }
                if (!keep || ending || endsByClose) {
                    head.headers().set(HttpHeaderNames.CONNECTION, "close");
                }
                channel.write(head);
            }

            @Override
            public void part(ByteBuf part) {
                if (client != this) {
                    part.release();
                    return;
                }
                ByteBuf kept = FlowControl.tight(part);
                int weight = FlowControl.weight(kept);
                channel.write(new DefaultHttpContent(kept)).addListener(f -> flow.taken(weight));
                flow.brought(weight);
            }

            @Override
            public void flush() {
                channel.flush();
            }

            @Override
            public void end(HttpHeaders trailers, Runnable taken) {
                if (client != this) {
                    return;
                }
                flow.finished();
                channel.writeAndFlush(new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER, trailers))
                        .addListener(
                                f -> {
                                    if (f.isSuccess() && client == this) {
                                        client = null;
                                        ends =
                                                !keep
                                                        || endsByClose
                                                        || ending
                                                        || !listening.config().isAutoRead();
                                        enter(State.ANSWERING);
                                        taken.run();
                                        written(true);
                                    }
                                });
            }

            @Override
            public void breakOff() {
                if (endsByClose) {
                    channel.config().setOption(ChannelOption.SO_LINGER, 0);
                }
                enter(State.LINGERING);
                if (client == this) {
                    client = null;
                    service.left(this);
                }
                channel.flush();
                channel.close();
            }

            /** For a client that takes nothing: what waits for it is not worth a word more. */
            private void reset() {
                endsByClose = true;
                breakOff();
            }

            @Override
            public void answer(HttpResponseStatus status, HttpHeaders headers, ByteBuf content) {
                if (client != this || bounds != null) {
                    content.release();
                    if (client == this) {
                        breakOff();
                    }
                    return;
                }
                client = null;
                // While others wait to be accepted, a connection that stays open and idle shuts
                // them out. And
                // where a body has not come whole, what follows is the rest of it.
                ends = !keep || ending || !listening.config().isAutoRead() || uploading();
                if (upload != null) {
                    channel.config().setAutoRead(true);
                }
                FullHttpResponse response =
                        new DefaultFullHttpResponse(
                                HttpVersion.HTTP_1_1,
                                status,
                                content,
                                headers,
                                new DefaultHttpHeaders());
                HttpUtil.setContentLength(response, content.readableBytes());
                if (ends) {
                    response.headers().set(HttpHeaderNames.CONNECTION, "close");
                }
                enter(State.ANSWERING);
                channel.writeAndFlush(response).addListener(f -> written(f.isSuccess()));
            }

            private void written(boolean whole) {
                if (!whole) {
                    channel.close();
                } else if (state == State.ANSWERING && ends) {
                    endOutput();
                } else if (state == State.ANSWERING) {
                    enter(State.RESTING);
                }
            }
        }
    }
}
