package sagefall.proxy;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.Future;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import sagefall.balancer.DefaultLoadBalancer;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.LoadBalancer;
import sagefall.buffer.BufferLimits;
import sagefall.buffer.BufferMemory;
import sagefall.config.Extensions;
import sagefall.config.SidecarConfig;
import sagefall.discovery.DiscoveryClient;
import sagefall.discovery.DiscoveryTimeouts;
import sagefall.leaderelection.PublishedSnapshot;
import sagefall.leaderelection.SharedEndpointSnapshot;
import sagefall.logging.LogEvent;
import sagefall.logging.LogLine;
import sagefall.persistence.EndpointSnapshot;
import sagefall.persistence.SnapshotStore;
import sagefall.proxy.downstream.DownstreamListener;
import sagefall.proxy.upstream.ConnectionPool;
import sagefall.streaming.BufferAccounting;
import sagefall.streaming.StreamingSettings;

/**
 * Assembles the parts of one sidecar and controls its {@linkplain LifecycleState life cycle}, from
 * the initial endpoint list to the last closed connection. The sidecar runs on one event loop;
 * methods must be called on that loop unless their documentation says otherwise.
 */
final class SidecarServer {

    private final EventLoop loop;
    private final LoopLatencyClock latencyClock;
    private final SidecarConfig config;
    private final Consumer<String> log;
    private final BufferMemory memory;
    private final BalancerDriver driver;
    private final AttemptForwarder forwarder;
    private final ConnectionPool pool;
    private final EndpointRecorder recorder;
    private final EndpointUpdates endpointUpdates;
    private final DiscoveryClient discovery;
    private final RecoveryStartup recovery;
    private final BalancerRequestHandler requestHandler;
    private final DownstreamListener listener;
    private final ShutdownCoordinator shutdown;

    /** Completes with the listening address once clients can connect. */
    private final CompletableFuture<InetSocketAddress> started = new CompletableFuture<>();

    private LifecycleState state = LifecycleState.CREATED;

    SidecarServer(
            EventLoop loop, LoopLatencyClock latencyClock, SidecarConfig config, PrintStream log) {
        this(loop, latencyClock, config, log, DefaultLoadBalancer::new);
    }

    /**
     * @param latencyClock the clock that measures the iterations of the loop
     * @param balancerFactory factory of the load balancer; tests pass a factory of their own
     */
    SidecarServer(
            EventLoop loop,
            LoopLatencyClock latencyClock,
            SidecarConfig config,
            PrintStream logStream,
            BiFunction<BalancerSettings, BalancerActions, LoadBalancer> balancerFactory) {
        this.loop = loop;
        this.latencyClock = latencyClock;
        this.config = config;
        log = line -> logStream.println(config.name() + " " + line);
        WallClock clock = new WallClock();
        DeadlineTimers deadlines = new DeadlineTimers(loop, clock, this::expire);
        memory = new BufferMemory(BufferLimits.ofJvm(), log);
        InFlightRequests requests = new InFlightRequests(deadlines, memory);
        ResponseWriter responses = new ResponseWriter(requests);
        driver =
                new BalancerDriver(
                        clock,
                        latencyClock,
                        deadlines,
                        this::readDiscovery,
                        this::abortAfterFailure,
                        log);
        forwarder =
                new AttemptForwarder(loop, clock, config, memory, driver, requests, responses, log);
        pool = forwarder.pool();
        recorder = new EndpointRecorder(config.endpointListCodec());
        endpointUpdates = new EndpointUpdates(driver, pool, recorder, this::onDiscoveryResult);
        discovery = newDiscoveryClient();
        recovery =
                new RecoveryStartup(
                        config, driver, pool, discovery, endpointUpdates, recorder, log);
        requestHandler =
                new BalancerRequestHandler(
                        clock, config.settings(), driver, requests, forwarder, this::isReady);
        listener =
                new DownstreamListener(
                        loop,
                        latencyClock,
                        requestHandler,
                        config.maxClientConnections(),
                        config.settings().limits().maxOpenRequests(),
                        memory,
                        log);
        shutdown =
                new ShutdownCoordinator(
                        clock,
                        config.settings().classes(),
                        requests,
                        requestHandler,
                        listener,
                        log);
        ProxyActions actions =
                new ProxyActions(loop, clock, driver, forwarder, responses, discovery, log);
        driver.setBalancer(balancerFactory.apply(config.settings(), actions));
        applyExtensions(config.extensions());
    }

    private DiscoveryClient newDiscoveryClient() {
        return new DiscoveryClient(
                loop,
                config.discovery(),
                memory,
                config.endpointListCodec(),
                config.configuredEndpoints().revision(),
                endpointUpdates,
                log,
                DiscoveryTimeouts.of(config.settings().pollsDiscovery()));
    }

    private void expire(ProxiedRequest request) {
        forwarder.expire(request);
    }

    private void readDiscovery() {
        discovery.readAvailable();
    }

    private void abortAfterFailure(ProxiedRequest request) {
        forwarder.abort(request, HttpResponseStatus.INTERNAL_SERVER_ERROR);
    }

    /** Applies extensions to new requests; requests in flight keep their earlier settings. */
    private void applyExtensions(Extensions extensions) {
        StreamingSettings streaming = extensions.streaming();
        requestHandler.useStreaming(streaming);
        forwarder.useStreaming(streaming);
        listener.updateStreamingSettings(streaming);
        long bufferLimit = streaming.isEnabled() ? streaming.maxBufferedBytes() : Long.MAX_VALUE;
        driver.deliver((balancer, now) -> balancer.onBufferLimit(now, bufferLimit));
    }

    /**
     * Applies the discovery address and the extensions of a new configuration. May be called on any
     * thread.
     */
    void reconfigure(SidecarConfig newConfig) {
        loop.execute(
                () -> {
                    discovery.changeAddress(newConfig.discovery());
                    applyExtensions(newConfig.extensions());
                });
    }

    /**
     * Sets the store in which endpoint lists are persisted, and the snapshot that an earlier
     * incarnation wrote there; to be called before the start.
     *
     * @param snapshot the snapshot in the store; null if it could not be read in time
     */
    void usePersistence(SnapshotStore store, EndpointSnapshot snapshot) {
        recovery.recoverFrom(store, snapshot);
        recorder.recordTo(store);
    }

    /**
     * Sets the snapshot that the sidecars of a machine share; to be called before the start.
     *
     * @param snapshot receiver of the endpoint lists; this process publishes the lists while it is
     *     the leader
     * @param snapshotAtStart the snapshot that was read at the start; null if there was none
     */
    void useSharedSnapshot(SharedEndpointSnapshot snapshot, PublishedSnapshot snapshotAtStart) {
        recovery.recoverFrom(snapshotAtStart);
        recorder.recordTo(snapshot);
    }

    /** Returns the handler of client requests. */
    BalancerRequestHandler requestHandler() {
        return requestHandler;
    }

    /** Returns the receiver of endpoint lists. */
    EndpointUpdates endpointUpdates() {
        return endpointUpdates;
    }

    /** Delivers the initial endpoints to the balancer; {@link #start} includes this step. */
    void deliverInitialEndpoints() {
        recovery.deliverInitialEndpoints();
    }

    /**
     * Starts to serve. May be called on any thread. If the sidecar has been stopped, this call has
     * no effect and the future never completes.
     *
     * @return a future that completes with the listening address once clients can connect, or fails
     *     if the address cannot be bound
     */
    CompletableFuture<InetSocketAddress> start() {
        loop.execute(
                () -> {
                    if (!state.isStopping()) {
                        startOnLoop();
                    }
                });
        return started;
    }

    private void startOnLoop() {
        deliverInitialEndpoints();
        if (config.settings().pollsDiscovery()) {
            bind();
        } else {
            // In push mode, a local agent holds the endpoint list and responds to a watch. The
            // balancer does not poll in this mode, so the watch is started here. Clients can
            // connect only after the watch has delivered a list or has failed. Thus the balancer
            // has received the agent's list before the first request, unless the watch has failed.
            state = state.transitionTo(LifecycleState.AWAITING_ENDPOINTS);
            discovery.subscribe();
        }
    }

    private void onDiscoveryResult() {
        if (state == LifecycleState.AWAITING_ENDPOINTS) {
            bind();
        }
    }

    private void bind() {
        state = state.transitionTo(LifecycleState.BINDING);
        listener.listen(config.listen()).addListener(this::onBound);
    }

    private void onBound(Future<? super Void> bound) {
        if (!state.isStopping()) {
            state =
                    state.transitionTo(
                            bound.isSuccess() ? LifecycleState.SERVING : LifecycleState.FAILED);
        }
        if (bound.isSuccess()) {
            // From here on, the periodic sweep of the client connections bounds each select.
            latencyClock.onIteration(new EventLoopMonitor(listener, log)::iterationEnded);
            started.complete(listener.address());
        } else {
            started.completeExceptionally(bound.cause());
        }
    }

    private boolean isReady() {
        return !state.isStopping() && pool.hasEndpointInService();
    }

    /**
     * Waits until all requests in flight have completed, then closes all connections. Does not
     * block; only the first call has an effect.
     *
     * @param noticedAtNanos time of {@link System#nanoTime()} at which the process noticed the
     *     signal to shut down
     * @param stopped task that runs on the event loop once all connections are closed
     */
    void stop(long noticedAtNanos, Runnable stopped) {
        if (!state.isStopping()) {
            state = state.transitionTo(LifecycleState.DRAINING);
            shutdown.start(noticedAtNanos, () -> onDrained(stopped));
        }
    }

    /** Returns the schedule of a shutdown. May be called on any thread. */
    ShutdownSchedule shutdownSchedule(long noticedAtNanos) {
        return shutdown.schedule(noticedAtNanos);
    }

    private void onDrained(Runnable stopped) {
        discovery.close();
        pool.close();
        logStreamBuffers();
        state = state.transitionTo(LifecycleState.STOPPED);
        stopped.run();
    }

    private void logStreamBuffers() {
        BufferAccounting buffers = listener.buffers();
        if (buffers.peakBytes() > 0) {
            log.accept(
                    LogLine.of(LogEvent.STREAM_BUFFERS_USED)
                            .with("peak_bytes", buffers.peakBytes())
                            .with("remaining_bytes", buffers.bufferedBytes())
                            .toString());
        }
    }

    /** Logs a line that begins with the sidecar's name. May be called on any thread. */
    void log(String line) {
        log.accept(line);
    }
}
