package sagefall.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.EndpointPhase;
import sagefall.balancer.api.Idempotency;
import sagefall.balancer.api.ListedEndpoint;
import sagefall.balancer.api.RequestClass;
import sagefall.config.SidecarConfig;
import sagefall.discovery.EndpointList;
import sagefall.http.HttpClientConnection;
import sagefall.http.HttpConnectionListener;
import sagefall.http.ProtocolHeaders;
import sagefall.proxy.downstream.DownstreamListener;
import sagefall.proxy.downstream.RequestHandler;
import sagefall.proxy.downstream.RequestParser;

/**
 * Made-up requests before the first real one: a sidecar of its own, whose only servers are this
 * very class behind the address that it will listen on, serves clients that are this class too.
 * Nothing of it outlasts the warm-up but the code that the runtime has compiled, and nothing leaves
 * the process.
 *
 * <p>Without it a sidecar is open to all of its clients while each of their requests costs tens of
 * times its usual CPU time and the compiler takes half of what there is; what then waits is late,
 * is asked for again, and keeps the process busy for seconds. That holds for whatever is scarce at
 * the start, be it the share of a core or a busy neighbour. Harm: the time that it takes is added
 * to the time that a restart takes, so it has an end by the clock as well as by count; meanwhile
 * {@code /healthz} answers 503.
 */
final class JvmWarmUp implements RequestHandler {

    private static final int SERVERS = 8;
    private static final int CLIENTS = 4;
    private static final int SOCKETS = 128;
    private static final int BODY = 256;

    /** Each so many requests there is one that is refused, since its time is up. */
    private static final int REFUSED = 8;

    private static final long TURN_MILLIS = 1;
    private static final HttpHeaders LOAD =
            new DefaultHttpHeaders().set(ProtocolHeaders.LOAD, "TEXT util=0.5, qps=10, eps=0");

    private final EventLoop loop;
    private final LoopLatencyClock turns;
    private final SidecarConfig config;
    private final String prefix;

    /**
     * Ids that the sidecar has been asked for: what comes again under one of them comes from the
     * sidecar.
     */
    private final Set<String> asked = new HashSet<>();

    private final CountDownLatch ended = new CountDownLatch(1);
    private final int requests;
    private final DownstreamListener stage;
    private SidecarServer sidecar;
    private int sent;
    private int answered;
    private boolean over;

    private JvmWarmUp(EventLoop loop, LoopLatencyClock turns, SidecarConfig config, int requests) {
        this.loop = loop;
        this.turns = turns;
        this.config = config;
        this.requests = requests;
        prefix = Long.toHexString(new SplittableRandom(config.settings().seed()).nextLong()) + "-";
        stage = new DownstreamListener(loop, turns, this, SOCKETS, line -> {});
    }

    /** Goes through so many requests, or as many as there is time for; how many were answered. */
    static int run(SidecarConfig config, int requests, long millis) throws InterruptedException {
        // A loop of its own: with it go all connections and timers of the warm-up.
        LoopLatencyClock turns = new LoopLatencyClock();
        var group = turns.group();
        JvmWarmUp warmUp = new JvmWarmUp(group.next(), turns, config, requests);
        try {
            warmUp.loop.execute(warmUp::open);
            warmUp.ended.await(millis, TimeUnit.MILLISECONDS);
            CountDownLatch closed = new CountDownLatch(1);
            warmUp.loop.execute(() -> warmUp.close(closed::countDown));
            closed.await();
            return warmUp.answered;
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await();
        }
    }

    private void open() {
        stage.listen(config.listen())
                .addListener(
                        bound -> {
                            if (bound.isSuccess()) {
                                begin(stage.address());
                            } else {
                                ended.countDown();
                            }
                        });
    }

    /**
     * The kernel lets go of the address only when the selector, in a later turn of the loop, has
     * let go of the listening socket.
     */
    private void close(Runnable closed) {
        over = true;
        stage.close().addListener(f -> loop.schedule(closed, TURN_MILLIS, TimeUnit.MILLISECONDS));
    }

    private void begin(InetSocketAddress address) {
        List<EndpointList.Entry> servers = new ArrayList<>();
        int zones = Math.max(1, config.settings().zones().size());
        for (int i = 0; i < SERVERS; i++) {
            servers.add(
                    new EndpointList.Entry(
                            new ListedEndpoint(i, i % zones, 0, 0, EndpointPhase.READY, 0, 1),
                            address));
        }
        SidecarConfig own = config.with(SOCKETS, new EndpointList(0, true, servers));
        sidecar =
                new SidecarServer(
                        loop, turns, own, new PrintStream(OutputStream.nullOutputStream()));
        sidecar.open();
        for (int i = 0; i < CLIENTS; i++) {
            new Client(address);
        }
    }

    @Override
    public boolean ready() {
        return false;
    }

    @Override
    public void take(FullHttpRequest http, ProxiedRequest.Client client)
            throws RequestParser.BadRequest {
        String id = String.valueOf(http.headers().get(ProtocolHeaders.REQUEST_ID));
        if (!id.startsWith(prefix)) {
            // Nobody should ask before the sidecar is ready; it can't serve yet, and has no word on
            // a retry.
            client.answer(
                    HttpResponseStatus.BAD_GATEWAY,
                    new DefaultHttpHeaders(),
                    Unpooled.EMPTY_BUFFER);
        } else if (asked.add(id)) {
            sidecar.take(http, client);
        } else {
            client.answer(HttpResponseStatus.OK, LOAD, Unpooled.wrappedBuffer(new byte[BODY]));
        }
    }

    @Override
    public void left(ProxiedRequest.Client client) {
        sidecar.left(client);
    }

    private FullHttpRequest next() {
        int number = sent++;
        BalancerSettings settings = config.settings();
        RequestClass c = settings.classes().get(number % settings.classes().size());
        boolean safe = c.idempotency() == Idempotency.IDEMPOTENT;
        ByteBuf body = Unpooled.wrappedBuffer(new byte[safe ? 0 : BODY]);
        FullHttpRequest next =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        safe ? HttpMethod.GET : HttpMethod.POST,
                        "/" + c.name() + "/" + number,
                        body);
        long millis = number % REFUSED == REFUSED - 1 ? 1 : c.deadlineMicros() / 1000;
        next.headers()
                .set(HttpHeaderNames.HOST, "warm-up")
                .set(ProtocolHeaders.REQUEST_ID, prefix + number)
                .set(ProtocolHeaders.TIMEOUT, Math.max(1, millis));
        if (!settings.tenants().isEmpty()) {
            next.headers()
                    .set(
                            ProtocolHeaders.TENANT,
                            settings.tenants().get(number % settings.tenants().size()).name());
        }
        if (c.idempotency() == Idempotency.IDEMPOTENCY_KEY) {
            next.headers().set(ProtocolHeaders.IDEMPOTENCY_KEY, prefix + number);
        }
        if (!safe) {
            next.headers().set(HttpHeaderNames.CONTENT_LENGTH, BODY);
        }
        return next;
    }

    /** Asks again as soon as it has an answer. */
    private final class Client implements HttpConnectionListener {
        private final HttpClientConnection link;

        Client(InetSocketAddress address) {
            link =
                    new HttpClientConnection(
                            loop,
                            address,
                            HttpClientConnection.MAX_BODY,
                            config.connectMicros(),
                            this);
        }

        @Override
        public void opened() {
            if (!over) {
                link.send(next());
            }
        }

        @Override
        public void written() {}

        @Override
        public void answered(FullHttpResponse answer, boolean clean) {
            if (++answered >= requests) {
                ended.countDown();
            } else if (clean && !over) {
                // Not from inside the answer, which the link has still to let go.
                loop.execute(() -> link.send(next()));
            }
        }

        @Override
        public void closed() {}
    }
}
