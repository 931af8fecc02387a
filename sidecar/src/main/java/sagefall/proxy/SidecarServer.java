package sagefall.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiFunction;
import sagefall.balancer.DefaultLoadBalancer;
import sagefall.balancer.api.AttemptOutcome;
import sagefall.balancer.api.AttemptResult;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.EndpointListKind;
import sagefall.balancer.api.LoadBalancer;
import sagefall.balancer.api.LoadReport;
import sagefall.balancer.api.RejectionReason;
import sagefall.balancer.api.RequestClass;
import sagefall.config.Extensions;
import sagefall.config.SidecarConfig;
import sagefall.discovery.DiscoveryClient;
import sagefall.discovery.EndpointList;
import sagefall.http.ProtocolHeaders;
import sagefall.leaderelection.DirectoryLeaseStore;
import sagefall.leaderelection.LeaderElectionSettings;
import sagefall.leaderelection.LeaderElector;
import sagefall.leaderelection.LeaseStore;
import sagefall.leaderelection.SharedEndpointSnapshot;
import sagefall.persistence.EndpointSnapshot;
import sagefall.persistence.PersistenceSettings;
import sagefall.persistence.SnapshotStore;
import sagefall.proxy.downstream.DownstreamListener;
import sagefall.proxy.downstream.RequestHandler;
import sagefall.proxy.downstream.RequestParser;
import sagefall.proxy.upstream.AttemptListener;
import sagefall.proxy.upstream.ConnectionPool;
import sagefall.streaming.FlowControl;
import sagefall.streaming.StreamedUpload;
import sagefall.streaming.StreamingSettings;

/**
 * The real host of the module: it turns what happens on sockets into the module's events and the
 * module's actions into what happens on sockets, and decides nothing. All of it runs on one event
 * loop.
 */
public final class SidecarServer
        implements BalancerActions, RequestHandler, AttemptListener, DiscoveryClient.Listener {

    /** The module ends its requests at their deadline; past this much more the sidecar does. */
    private static final long OVERDUE_MICROS = 5_000;

    /** Answers that tell a client that asking again is harmless: only the module may say so. */
    private static final Set<HttpResponseStatus> REFUSALS =
            Set.of(HttpResponseStatus.TOO_MANY_REQUESTS, HttpResponseStatus.SERVICE_UNAVAILABLE);

    /**
     * Requests of the warm-up, and the time since the start at which it ends all the same, so that
     * a restart is ready within 10 s: with a seventh of a core it then comes to a third of them,
     * which cost the most. A bound of its own of 1.5 s left such a process cold, and its clients'
     * requests unread for a second.
     */
    private static final int WARM_UP_REQUESTS = 250;

    private static final long WARM_UP_UNTIL_MILLIS = 6_000;

    /**
     * After the warm-up, beside which the folder was read: a disk that is stalled keeps nobody
     * longer.
     */
    private static final long OPENED_MILLIS = 250;

    /**
     * From one look at what discovery has written to the next, beside those that the loop takes.
     */
    private static final long LOOK_MICROS = 20_000;

    private final EventLoop loop;
    private final PrintStream log;
    private final WallClock clock = new WallClock();
    private final LoadBalancer module;
    private final RequestParser reader;
    private final ConnectionPool pool;
    private final DiscoveryClient discovery;
    private final DownstreamListener clients;
    private final LoopLatencyClock turns;
    private final DeadlineTimers deadlines;
    private final SidecarConfig config;

    /** What streams, as the file of extensions said last. */
    private StreamingSettings streaming;

    private final Map<String, ProxiedRequest> calls = new HashMap<>();
    private final Map<ProxiedRequest.Client, ProxiedRequest> waiting = new HashMap<>();
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private SnapshotStore keeper;
    private EndpointSnapshot kept;
    private SharedEndpointSnapshot.Read newcomers;
    private SharedEndpointSnapshot digest;
    private LeaderElector holder;
    private boolean inModule;
    private long lookedAt;

    /** To be done once discovery has said a first word, or is seen not to. */
    private Runnable opening;

    private boolean stopping;

    /** Something to tell the module, and the request that it is about, if any. */
    private record Event(ProxiedRequest about, Told told) {}

    private interface Told {
        void tell(long nowMicros);
    }

    SidecarServer(EventLoop loop, LoopLatencyClock turns, SidecarConfig config, PrintStream log) {
        this(loop, turns, config, log, DefaultLoadBalancer::new);
    }

    /** With another module. */
    SidecarServer(
            EventLoop loop,
            LoopLatencyClock turns,
            SidecarConfig config,
            PrintStream log,
            BiFunction<BalancerSettings, BalancerActions, LoadBalancer> modules) {
        this.loop = loop;
        this.turns = turns;
        this.config = config;
        this.log = log;
        deadlines = new DeadlineTimers(loop, clock, this::overdue);
        module = modules.apply(config.settings(), this);
        reader = new RequestParser(config.settings());
        pool = new ConnectionPool(loop, clock, config, this);
        discovery =
                new DiscoveryClient(
                        loop,
                        config.discovery(),
                        config.lists(),
                        config.known().revision(),
                        this,
                        this::log,
                        DiscoveryClient.Timeouts.of(config.settings().pollsDiscovery()));
        clients = new DownstreamListener(loop, turns, this, config.clientConnections(), this::log);
        extend(config.extensions());
    }

    /** What was begun under other extensions ends under them. */
    private void extend(Extensions extensions) {
        streaming = extensions.streaming();
        pool.streams(streaming.isOn());
        clients.streams(streaming);
        tell(
                null,
                now ->
                        module.onBufferLimit(
                                now,
                                streaming.isOn() ? streaming.bufferedBytes() : Long.MAX_VALUE));
    }

    /** Runs a sidecar until it is told to end; the exit status. */
    public static int serve(Map<String, String> environment, PrintStream log) {
        long began = System.nanoTime();
        SidecarConfig config;
        try {
            config = SidecarConfig.read(environment);
        } catch (IOException e) {
            log.println(plain(e));
            return 2;
        }
        LoopLatencyClock turns = new LoopLatencyClock();
        EventLoop loop = turns.group().next();
        CountDownLatch ended = new CountDownLatch(1);
        try {
            SidecarServer sidecar =
                    loop.submit(() -> new SidecarServer(loop, turns, config, log)).get();
            // One after the other, so that the last file read is the last one taken over.
            ExecutorService reading =
                    Executors.newSingleThreadExecutor(new DefaultThreadFactory("reading", true));
            ReloadSignal.handle(() -> reading.execute(() -> sidecar.reload(environment)));
            Thread end =
                    new Thread(
                            () -> {
                                loop.execute(() -> sidecar.stop(ended::countDown));
                                awaitQuietly(ended);
                                sidecar.keptAll();
                                // The runtime would report the signal as its exit status.
                                Runtime.getRuntime().halt(0);
                            });
            Runtime.getRuntime().addShutdownHook(end);
            PersistenceSettings recovery = config.extensions().recovery();
            SnapshotStore keeper =
                    recovery.isOn()
                            ? new SnapshotStore(recovery, config.name(), sidecar::log)
                            : null;
            long read = millisSince(began);
            int played =
                    JvmWarmUp.run(
                            config, WARM_UP_REQUESTS, Math.max(0, WARM_UP_UNTIL_MILLIS - read));
            long warm = millisSince(began);
            if (keeper != null) {
                EndpointSnapshot kept = keeper.opened(OPENED_MILLIS);
                loop.submit(() -> sidecar.keep(keeper, kept)).sync();
            }
            if (config.extensions().duties().isOn()) {
                sidecar.takeDuties();
            }
            try {
                sidecar.start().get();
                sidecar.log(
                        "start: settings read after "
                                + read
                                + " ms, warm-up of "
                                + played
                                + " requests over after "
                                + warm
                                + " ms, open after "
                                + millisSince(began)
                                + " ms");
            } catch (ExecutionException e) {
                Runtime.getRuntime().removeShutdownHook(end);
                throw e;
            }
            ended.await();
            return 0;
        } catch (InterruptedException e) {
            return 1;
        } catch (ExecutionException | ReflectiveOperationException e) {
            log.println("sagefall: cannot start: " + e.getCause());
            return 1;
        }
    }

    private static long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }

    private static String plain(Exception e) {
        return "sagefall: " + String.valueOf(e.getMessage()).replaceAll("\\s+", " ");
    }

    /**
     * Reads the configuration again, off the loop, and goes over to the address of discovery in it,
     * which goes before what the environment said at the start. A file that is wrong anywhere
     * changes nothing.
     */
    void reload(Map<String, String> environment) {
        try {
            SidecarConfig next = SidecarConfig.reread(environment);
            loop.execute(
                    () -> {
                        discovery.move(next.discovery());
                        extend(next.extensions());
                    });
        } catch (IOException | RuntimeException e) {
            log.println(plain(e) + "; the old configuration stays");
        }
    }

    /**
     * Reads what the sidecars of this machine have in common and stands for writing it; not on the
     * loop.
     */
    private void takeDuties() throws InterruptedException {
        LeaderElectionSettings duties = config.extensions().duties();
        AtomicReference<SharedEndpointSnapshot.Read> read = new AtomicReference<>();
        CompletableFuture<LeaseStore> opening =
                CompletableFuture.supplyAsync(
                        () -> {
                            try {
                                LeaseStore store = new DirectoryLeaseStore(duties.directory());
                                try {
                                    read.set(SharedEndpointSnapshot.read(store));
                                } catch (IOException e) {
                                    log("duties: the digest is left out: " + plain(e));
                                }
                                return store;
                            } catch (IOException e) {
                                throw new UncheckedIOException(e);
                            }
                        });
        LeaseStore store;
        try {
            store = opening.get(OPENED_MILLIS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            log("duties: going on without: " + plain(e));
            return;
        }
        SharedEndpointSnapshot duty = new SharedEndpointSnapshot();
        String owner = config.name() + "#" + ProcessHandle.current().pid() + "#" + clock.micros();
        LeaderElector of =
                new LeaderElector(
                        store,
                        owner,
                        duty,
                        duties.leaseMillis(),
                        config.settings().seed() ^ config.settings().rank(),
                        this::log);
        loop.submit(() -> serveAll(read.get(), duty, of)).sync();
    }

    /** Writes what is still to be kept and gives duties back; any thread. */
    private void keptAll() {
        if (holder != null) {
            holder.close();
        }
        if (keeper != null) {
            keeper.close();
        }
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Hands the module what was kept, if anything was, and its first list. */
    void open() {
        EndpointList known = config.known();
        if (kept != null && kept.revision() > 0) {
            EndpointList last = config.lists().kept(kept);
            boolean fresh = keeper.fresh(kept);
            log(
                    "recovery: epoch "
                            + kept.epoch()
                            + ", kept: "
                            + last.told()
                            + ", "
                            + (keeper.wallMillis() - kept.atMillis()) / 1000
                            + " s old, "
                            + (fresh && last.revision() > known.revision()
                                    ? "taken"
                                    : "restricts only")
                            + "; known: "
                            + known.told());
            pool.update(last.with(known));
            tell(
                    null,
                    now ->
                            module.onRecoveredEndpoints(
                                    now, last.revision(), fresh, last.servers()));
            tell(
                    null,
                    now ->
                            module.onEndpointList(
                                    now,
                                    EndpointListKind.CACHED,
                                    known.revision(),
                                    known.servers()));
            // It may be behind what was kept, so its changes alone would not do.
            discovery.whole();
            if (known.revision() >= last.revision()) {
                keepList(known);
            }
        } else {
            if (kept != null) {
                log(
                        "recovery: epoch "
                                + kept.epoch()
                                + ", nothing was kept; known: "
                                + known.told());
            }
            if (newcomers != null && newcomers.kept().revision() > known.revision()) {
                EndpointList last = config.lists().kept(newcomers.kept());
                log(
                        "recovery: digest of term "
                                + newcomers.term()
                                + ": "
                                + last.told()
                                + ", restricts only");
                tell(
                        null,
                        now ->
                                module.onRecoveredEndpoints(
                                        now, last.revision(), false, last.servers()));
                discovery.whole();
            }
            listed(EndpointListKind.CACHED, known);
            keepList(known);
        }
    }

    private void keepList(EndpointList list) {
        if (keeper != null) {
            keeper.told(config.lists().change(list, keeper.wallMillis()));
        }
        if (digest != null) {
            digest.told(config.lists().change(list, System.currentTimeMillis()));
        }
    }

    /** What an earlier life kept, and who keeps what this one is told; before the first list. */
    void keep(SnapshotStore with, EndpointSnapshot before) {
        keeper = with;
        kept = before;
    }

    /**
     * What the machine's sidecars have in common, and the duty of writing it; before the first
     * list.
     */
    void serveAll(
            SharedEndpointSnapshot.Read before, SharedEndpointSnapshot duty, LeaderElector of) {
        newcomers = before;
        digest = duty;
        holder = of;
    }

    /**
     * Hands the module its first list and opens the door; gives the address once clients can
     * connect.
     */
    CompletableFuture<InetSocketAddress> start() {
        CompletableFuture<InetSocketAddress> started = new CompletableFuture<>();
        loop.execute(
                () -> {
                    open();
                    if (config.settings().pollsDiscovery()) {
                        listen(started);
                    } else {
                        // Pushed lists wait at an agent, which answers a watch; the module asks for
                        // nothing then.
                        // What it has counts as told from the first moment, so it is heard before
                        // any request.
                        opening = () -> listen(started);
                        discovery.subscribe();
                    }
                });
        return started;
    }

    private void listen(CompletableFuture<InetSocketAddress> started) {
        clients.listen(config.listen())
                .addListener(
                        f -> {
                            if (f.isSuccess()) {
                                started.complete(clients.address());
                            } else {
                                started.completeExceptionally(f.cause());
                            }
                        });
    }

    private void heard() {
        if (opening != null && !stopping) {
            Runnable open = opening;
            opening = null;
            open.run();
        }
    }

    /** Answers all in hand, then ends. */
    void stop(Runnable ended) {
        if (stopping) {
            return;
        }
        stopping = true;
        clients.end(
                () -> {
                    discovery.close();
                    pool.close();
                    if (clients.buffers().most() > 0) {
                        log(
                                "streams held "
                                        + clients.buffers().most()
                                        + " bytes at the most, "
                                        + clients.buffers().held()
                                        + " at the end");
                    }
                    ended.run();
                });
    }

    // ---- Events for the module

    /**
     * Tells the module, now or right after what it is being told: what an action brings about at
     * once must not reach the module inside the very call that asked for it. An exception costs its
     * own request only.
     */
    private void tell(ProxiedRequest about, Told told) {
        if (!inModule) {
            look();
        }
        events.addLast(new Event(about, told));
        if (inModule) {
            return;
        }
        inModule = true;
        try {
            for (Event e; (e = events.pollFirst()) != null; ) {
                tell(e);
            }
        } finally {
            inModule = false;
        }
    }

    /**
     * A list that is there counts as told, also where the loop is late and a request, an answer or
     * a timer would have its turn first: so it is read before the module decides. What is overdue
     * comes first too.
     */
    private void look() {
        turns.since();
        long now = clock.micros();
        deadlines.check(now);
        if (now - lookedAt >= LOOK_MICROS) {
            lookedAt = now;
            discovery.catchUp();
        }
    }

    @Override
    public boolean wanted(ForwardedAttempt attempt) {
        look();
        return attempt.call.client.waits();
    }

    private void tell(Event e) {
        try {
            e.told.tell(clock.micros());
        } catch (RuntimeException | Error failure) {
            log("request " + (e.about == null ? "-" : e.about.request.id()) + ": " + failure);
            if (e.about != null) {
                abort(e.about, HttpResponseStatus.INTERNAL_SERVER_ERROR);
            }
        }
    }

    private void listed(EndpointListKind kind, EndpointList list) {
        pool.update(list);
        tell(null, now -> module.onEndpointList(now, kind, list.revision(), list.servers()));
    }

    @Override
    public void listed(EndpointList list) {
        listed(list.complete() ? EndpointListKind.COMPLETE : EndpointListKind.CHANGES, list);
        keepList(list);
        heard();
    }

    @Override
    public void failed(String why) {
        tell(null, now -> module.onEndpointList(now, EndpointListKind.FAILED, List.of()));
        heard();
    }

    @Override
    public boolean ready() {
        return !stopping && pool.anyReady();
    }

    @Override
    public void take(FullHttpRequest http, ProxiedRequest.Client client)
            throws RequestParser.BadRequest {
        long now = clock.micros();
        ProxiedRequest call =
                reader.read(
                        now, http, ByteBufUtil.getBytes(http.content()), null, streaming, client);
        keep(call, client);
        expire(call);
        tell(call, at -> module.onRequest(at, call.request));
    }

    private void keep(ProxiedRequest call, ProxiedRequest.Client client)
            throws RequestParser.BadRequest {
        if (calls.putIfAbsent(call.request.id(), call) != null) {
            throw new RequestParser.BadRequest(
                    "this " + ProtocolHeaders.REQUEST_ID + " is in hand");
        }
        waiting.put(client, call);
    }

    private void expire(ProxiedRequest call) {
        deadlines.set(call, call.deadlineMicros + OVERDUE_MICROS);
    }

    /**
     * The loop is late, else its attempts had ended at its deadline and the module had answered it.
     */
    private void overdue(ProxiedRequest call) {
        List.copyOf(call.attempts).forEach(a -> stopWaiting(a, AttemptResult.TIMED_OUT));
        abort(call, HttpResponseStatus.GATEWAY_TIMEOUT);
    }

    // ---- Bodies that pass through as they arrive

    @Override
    public long uploads(HttpRequest head) {
        RequestClass known = reader.requestClass(head.uri());
        return known == null ? 0 : streaming.bounds(known.name()).requestBytes();
    }

    @Override
    public void take(HttpRequest head, StreamedUpload upload, ProxiedRequest.Client client)
            throws RequestParser.BadRequest {
        long now = clock.micros();
        ProxiedRequest call = reader.read(now, head, null, upload, streaming, client);
        keep(call, client);
        upload.listen(
                new StreamedUpload.Listener() {
                    /**
                     * The client's time runs from its last byte, as for a request that is taken
                     * whole.
                     */
                    @Override
                    public void whole() {
                        long at = clock.micros();
                        call.deadlineMicros = at + call.request.deadlineMicros() - now;
                        expire(call);
                        tell(
                                call,
                                when ->
                                        module.onUploadComplete(
                                                when, call.request.id(), call.deadlineMicros));
                    }

                    @Override
                    public void replayLost() {
                        tell(call, at -> module.onReplayBufferExceeded(at, call.request.id()));
                    }
                });
        tell(call, at -> module.onRequest(at, call.request));
    }

    /** Only from its last byte on may a server be late. */
    @Override
    public void written(ForwardedAttempt attempt) {
        long now = clock.micros();
        attempt.since = now;
        attempt.giveUpAt = giveUpAt(attempt.call, now, attempt.patienceMicros);
        if (attempt.timeout != null) {
            attempt.timeout.cancel(false);
        }
        attempt.timeout =
                loop.schedule(
                        () -> stopWaiting(attempt, AttemptResult.TIMED_OUT),
                        attempt.giveUpAt - now,
                        TimeUnit.MICROSECONDS);
    }

    /** The server takes or brings nothing any more. */
    @Override
    public void stalled(ProxiedRequest.Client client) {
        ProxiedRequest call = waiting.get(client);
        if (call != null) {
            for (ForwardedAttempt attempt : List.copyOf(call.attempts)) {
                if (attempt.result == null) {
                    pool.abandon(attempt);
                    ended(
                            attempt,
                            attempt.written ? AttemptResult.TIMED_OUT : AttemptResult.NO_CONNECTION,
                            null,
                            null);
                }
            }
        }
    }

    @Override
    public void began(
            ForwardedAttempt attempt,
            HttpResponse head,
            LoadReport report,
            FlowControl.Source source) {
        ProxiedRequest call = attempt.call;
        if (call.over || call.streaming != null) {
            stopWaiting(attempt, AttemptResult.CANCELLED);
            return;
        }
        attempt.timeout.cancel(false);
        deadlines.remove(call);
        call.streaming = attempt;
        call.report = report;
        tell(
                call,
                now ->
                        module.onStreamStarted(
                                now,
                                call.request.id(),
                                attempt.number,
                                attempt.server,
                                now - attempt.since));
        HttpHeaders headers = ProtocolHeaders.endToEnd(head.headers());
        headers.remove(ProtocolHeaders.LOAD);
        call.client.begin(headers, HttpUtil.getContentLength(head, -1L), streaming, source);
    }

    @Override
    public void part(ForwardedAttempt attempt, ByteBuf part) {
        if (attempt.call.over) {
            part.release();
        } else {
            attempt.call.client.part(part);
        }
    }

    @Override
    public void flush(ForwardedAttempt attempt) {
        if (!attempt.call.over) {
            attempt.call.client.flush();
        }
    }

    /** The server has done its part; the request is in hand until its client has taken all. */
    @Override
    public void finished(ForwardedAttempt attempt, HttpHeaders trailers) {
        ProxiedRequest call = attempt.call;
        if (call.over) {
            streamed(attempt, AttemptResult.SERVED);
        } else {
            call.client.end(
                    ProtocolHeaders.trailers(trailers),
                    () -> streamed(attempt, AttemptResult.SERVED));
        }
    }

    /** The end of an answer that passed through, whole or broken. */
    private void streamed(ForwardedAttempt attempt, AttemptResult result) {
        ProxiedRequest call = attempt.call;
        if (attempt.result != null) {
            return;
        }
        attempt.result = result;
        call.out--;
        if (!call.over) {
            over(call);
            if (result != AttemptResult.SERVED) {
                call.client.breakOff();
            }
        }
        tell(
                call,
                now ->
                        module.onAttemptOutcome(
                                now,
                                new AttemptOutcome(
                                        call.request.id(),
                                        attempt.number,
                                        attempt.server,
                                        result,
                                        now - attempt.since,
                                        true,
                                        call.report)));
        forget(call);
    }

    @Override
    public void left(ProxiedRequest.Client client) {
        ProxiedRequest call = waiting.get(client);
        if (call != null) {
            over(call);
            tell(null, now -> module.onClientDisconnected(now, call.request.id()));
            // Whether or not attempts may be called off: what passes through has nowhere to go any
            // more.
            if (call.streaming != null) {
                stopWaiting(call.streaming, AttemptResult.CANCELLED);
            } else if (call.upload != null) {
                call.attempts.forEach(a -> stopWaiting(a, AttemptResult.CANCELLED));
            }
        }
    }

    @Override
    public void ended(
            ForwardedAttempt attempt,
            AttemptResult result,
            LoadReport report,
            FullHttpResponse answer) {
        ProxiedRequest call = attempt.call;
        if (call.streaming == attempt) {
            streamed(attempt, result);
            return;
        }
        attempt.result = result;
        if (attempt.timeout != null) {
            attempt.timeout.cancel(false);
        }
        if (result == AttemptResult.ERROR
                && !attempt.written
                && !REFUSALS.contains(answer.status())) {
            call.refusal =
                    new ProxiedRequest.Refusal(
                            answer.status(),
                            ProtocolHeaders.endToEnd(answer.headers()),
                            ByteBufUtil.getBytes(answer.content()));
        }
        call.out--;
        if (result == AttemptResult.SERVED && !call.over) {
            HttpHeaders headers = ProtocolHeaders.endToEnd(answer.headers());
            headers.remove(ProtocolHeaders.LOAD);
            ProxiedRequest.Client client = call.client;
            over(call);
            client.answer(HttpResponseStatus.OK, headers, answer.content().retain());
        }
        tell(
                call,
                now ->
                        module.onAttemptOutcome(
                                now,
                                new AttemptOutcome(
                                        call.request.id(),
                                        attempt.number,
                                        attempt.server,
                                        result,
                                        now - attempt.since,
                                        call.over,
                                        report)));
        forget(call);
    }

    // ---- Actions of the module

    @Override
    public void send(String requestId, long server, long timeoutMicros, long latestMicros) {
        ProxiedRequest call = calls.get(requestId);
        if (call == null) {
            return;
        }
        long now = clock.micros();
        long giveUpAt = giveUpAt(call, now, timeoutMicros);
        ForwardedAttempt attempt = new ForwardedAttempt(call, server, now, giveUpAt);
        attempt.patienceMicros = timeoutMicros;
        attempt.latestAt = latestMicros;
        call.attempts.add(attempt);
        call.out++;
        if (call.upload == null || call.upload.whole()) {
            attempt.timeout =
                    loop.schedule(
                            () -> stopWaiting(attempt, AttemptResult.TIMED_OUT),
                            giveUpAt - now,
                            TimeUnit.MICROSECONDS);
        }
        pool.start(attempt);
    }

    private static long giveUpAt(ProxiedRequest call, long now, long patienceMicros) {
        return patienceMicros == 0
                ? call.deadlineMicros
                : Math.min(call.deadlineMicros, now + patienceMicros);
    }

    /**
     * Until its last byte is written an attempt can't have run, and the module is told that proof.
     */
    private void stopWaiting(ForwardedAttempt attempt, AttemptResult otherwise) {
        if (attempt.result == null) {
            pool.abandon(attempt);
            ended(attempt, attempt.written ? otherwise : AttemptResult.NOT_SENT, null, null);
        }
    }

    @Override
    public void cancel(String requestId, int attempt) {
        ProxiedRequest call = calls.get(requestId);
        if (call != null && attempt >= 0 && attempt < call.attempts.size()) {
            stopWaiting(call.attempts.get(attempt), AttemptResult.CANCELLED);
        }
    }

    @Override
    public void reject(String requestId, long retryAfterMicros, RejectionReason why) {
        HttpHeaders headers = new DefaultHttpHeaders();
        if (retryAfterMicros > 0) {
            headers.set(
                    HttpHeaderNames.RETRY_AFTER,
                    String.valueOf(Math.max(1, retryAfterMicros / 1000) / 1000.0));
        }
        answer(calls.get(requestId), HttpResponseStatus.SERVICE_UNAVAILABLE, headers);
    }

    @Override
    public void fail(String requestId, RejectionReason why) {
        ProxiedRequest call = calls.get(requestId);
        if (call != null && call.refusal != null) {
            call.refusal.headers().remove(ProtocolHeaders.LOAD);
            answer(
                    call,
                    call.refusal.status(),
                    call.refusal.headers(),
                    Unpooled.wrappedBuffer(call.refusal.content()));
            return;
        }
        boolean late =
                call != null
                        && call.attempts.stream()
                                .anyMatch(a -> a.result == AttemptResult.TIMED_OUT);
        answer(
                call,
                late ? HttpResponseStatus.GATEWAY_TIMEOUT : HttpResponseStatus.BAD_GATEWAY,
                new DefaultHttpHeaders());
    }

    @Override
    public void scheduleTimer(long atMicros, long token) {
        loop.schedule(
                () -> tell(null, now -> module.onTimer(now, token)),
                Math.max(0, atMicros - clock.micros()),
                TimeUnit.MICROSECONDS);
    }

    @Override
    public void closeIdleConnections(long server) {
        pool.closeIdle(server);
    }

    @Override
    public void requestEndpointUpdates() {
        discovery.subscribe();
    }

    @Override
    public void log(String line) {
        log.println(config.name() + " " + line);
    }

    // ---- The one answer

    private void answer(ProxiedRequest call, HttpResponseStatus status, HttpHeaders headers) {
        answer(call, status, headers, Unpooled.EMPTY_BUFFER);
    }

    private void answer(
            ProxiedRequest call, HttpResponseStatus status, HttpHeaders headers, ByteBuf content) {
        if (call != null && !call.over) {
            over(call);
            call.client.answer(status, headers, content);
        }
    }

    /** An answer that the module did not give: its request must have one all the same. */
    private void abort(ProxiedRequest call, HttpResponseStatus status) {
        if (!call.over) {
            answer(call, status, new DefaultHttpHeaders());
            tell(null, now -> module.onClientDisconnected(now, call.request.id()));
            if (call.streaming != null) {
                stopWaiting(call.streaming, AttemptResult.CANCELLED);
            }
        }
    }

    private void over(ProxiedRequest call) {
        call.over = true;
        deadlines.remove(call);
        if (call.upload != null) {
            call.upload.close();
        }
        waiting.remove(call.client);
        forget(call);
    }

    private void forget(ProxiedRequest call) {
        if (call.over && call.out == 0) {
            calls.remove(call.request.id(), call);
        }
    }
}
