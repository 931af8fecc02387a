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
 * One sidecar: its parts, put together, and its lifecycle from the initial endpoint list to the
 * last closed connection, as a {@link LifecycleState}. All of it runs on one event loop; methods
 * are called on that loop unless they say otherwise.
 */
final class SidecarServer {

    private final EventLoop loop;
    private final SidecarConfig config;
    private final Consumer<String> log;
    private final BalancerDriver driver;
    private final AttemptForwarder forwarder;
    private final ConnectionPool pool;
    private final EndpointRecorder recorder;
    private final EndpointUpdates endpointUpdates;
    private final DiscoveryClient discovery;
    private final RecoveryStartup recovery;
    private final BalancerRequestHandler requestHandler;
    private final DownstreamListener listener;

    /** Completes with the address once clients can connect. */
    private final CompletableFuture<InetSocketAddress> started = new CompletableFuture<>();

    private LifecycleState state = LifecycleState.CREATED;

    SidecarServer(
            EventLoop loop, LoopLatencyClock latencyClock, SidecarConfig config, PrintStream log) {
        this(loop, latencyClock, config, log, DefaultLoadBalancer::new);
    }

    /**
     * @param latencyClock the one of the loop's group
     * @param balancers makes the load balancer; tests bring their own
     */
    SidecarServer(
            EventLoop loop,
            LoopLatencyClock latencyClock,
            SidecarConfig config,
            PrintStream logStream,
            BiFunction<BalancerSettings, BalancerActions, LoadBalancer> balancers) {
        this.loop = loop;
        this.config = config;
        log = line -> logStream.println(config.name() + " " + line);
        WallClock clock = new WallClock();
        DeadlineTimers deadlines = new DeadlineTimers(loop, clock, this::expire);
        InFlightRequests requests = new InFlightRequests(deadlines);
        ResponseWriter responses = new ResponseWriter(requests);
        driver =
                new BalancerDriver(
                        clock,
                        latencyClock,
                        deadlines,
                        this::readDiscovery,
                        this::abortAfterFailure,
                        log);
        forwarder = new AttemptForwarder(loop, clock, config, driver, requests, responses);
        pool = forwarder.pool();
        recorder = new EndpointRecorder(config.endpointListCodec());
        endpointUpdates = new EndpointUpdates(driver, pool, recorder, this::onDiscoveryAnswered);
        discovery = newDiscoveryClient();
        recovery =
                new RecoveryStartup(
                        config, driver, pool, discovery, endpointUpdates, recorder, log);
        requestHandler =
                new BalancerRequestHandler(
                        clock, config.settings(), driver, requests, forwarder, this::isReady);
        listener =
                new DownstreamListener(
                        loop, latencyClock, requestHandler, config.maxClientConnections(), log);
        HostActions actions =
                new HostActions(loop, clock, driver, forwarder, responses, discovery, log);
        driver.drive(balancers.apply(config.settings(), actions));
        applyExtensions(config.extensions());
    }

    private DiscoveryClient newDiscoveryClient() {
        return new DiscoveryClient(
                loop,
                config.discovery(),
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
        discovery.catchUp();
    }

    private void abortAfterFailure(ProxiedRequest request) {
        forwarder.abort(request, HttpResponseStatus.INTERNAL_SERVER_ERROR);
    }

    /** Requests that began under other extensions end under them. */
    private void applyExtensions(Extensions extensions) {
        StreamingSettings streaming = extensions.streaming();
        requestHandler.useStreaming(streaming);
        forwarder.useStreaming(streaming);
        listener.updateStreamingSettings(streaming);
        long bufferLimit = streaming.isOn() ? streaming.bufferedBytes() : Long.MAX_VALUE;
        driver.deliver((balancer, now) -> balancer.onBufferLimit(now, bufferLimit));
    }

    /** Applies discovery's address and the extensions of a configuration; any thread. */
    void reconfigure(SidecarConfig newConfig) {
        loop.execute(
                () -> {
                    discovery.moveTo(newConfig.discovery());
                    applyExtensions(newConfig.extensions());
                });
    }

    /**
     * Sets where lists are persisted and what an earlier incarnation left there; before the start.
     *
     * @param snapshot null where it could not be read in time
     */
    void usePersistence(SnapshotStore store, EndpointSnapshot snapshot) {
        recovery.recoverFrom(store, snapshot);
        recorder.recordTo(store);
    }

    /**
     * Sets the snapshot that the sidecars of a machine share; before the start.
     *
     * @param snapshotAtStart its content; null where there was none
     */
    void useSharedSnapshot(SharedEndpointSnapshot snapshot, PublishedSnapshot snapshotAtStart) {
        recovery.recoverFrom(snapshotAtStart);
        recorder.recordTo(snapshot);
    }

    /** Where requests come in. */
    BalancerRequestHandler requestHandler() {
        return requestHandler;
    }

    /** Where endpoint lists come in. */
    EndpointUpdates endpointUpdates() {
        return endpointUpdates;
    }

    /** Delivers the initial endpoints to the balancer; part of the start. */
    void deliverInitialEndpoints() {
        recovery.deliverInitialEndpoints();
    }

    /**
     * Starts to serve; any thread. A sidecar that has been stopped before does not start any more,
     * and the future does not complete.
     *
     * @return the address once clients can connect, or why it could not be bound
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
            // Pushed lists wait at an agent, which answers a watch; the balancer asks for nothing
            // then. What the agent has counts as known from the first moment, so it is read before
            // any request.
            state = state.transitionTo(LifecycleState.AWAITING_ENDPOINTS);
            discovery.subscribe();
        }
    }

    private void onDiscoveryAnswered() {
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
            started.complete(listener.address());
        } else {
            started.completeExceptionally(bound.cause());
        }
    }

    private boolean isReady() {
        return !state.isStopping() && pool.hasEndpointInService();
    }

    /**
     * Answers all requests in flight and closes all connections. Only the first call counts.
     *
     * @param stopped runs on the loop once all of that is done
     */
    void stop(Runnable stopped) {
        if (!state.isStopping()) {
            state = state.transitionTo(LifecycleState.DRAINING);
            listener.shutDownGracefully(() -> onDrained(stopped));
        }
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
                            .with("remaining_bytes", buffers.reservedBytes())
                            .toString());
        }
    }

    /** Writes a line under the sidecar's name; any thread. */
    void log(String line) {
        log.accept(line);
    }
}
