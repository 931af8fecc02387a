package sagefall.proxy;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import sagefall.balancer.api.EndpointPhase;
import sagefall.balancer.api.ListedEndpoint;
import sagefall.buffer.BufferLimits;
import sagefall.buffer.BufferMemory;
import sagefall.config.SidecarConfig;
import sagefall.discovery.EndpointList;
import sagefall.proxy.downstream.DownstreamListener;

/**
 * Warms up the JVM before the sidecar serves: sends artificial requests, so that the JVM loads and
 * compiles the code that handles requests. A temporary {@link SidecarServer} runs between {@link
 * WarmUpClient}s and a {@link WarmUpService}. The service listens on the address of the real
 * sidecar and acts as all endpoints. Only compiled code remains after the warm-up, and no request
 * leaves the process.
 *
 * <p>Without a warm-up, a sidecar accepts all of its clients while each request costs tens of times
 * its usual CPU time and the JIT compiler takes half of the available CPU time. Waiting requests
 * are then late, and their retries keep the process busy for seconds. Such an overload occurs
 * whenever CPU time is scarce at the start, for example because the process has a small share of a
 * core or because other processes are busy. The warm-up prolongs a restart. Therefore both its
 * duration and its number of requests are limited. During the warm-up, {@code /healthz} responds
 * with 503.
 */
final class JvmWarmUp implements WarmUpClient.Progress {

    private static final int ENDPOINTS = 8;
    private static final int CLIENTS = 4;
    private static final int MAX_CONNECTIONS = 128;

    /** Delay of a task that must run in a later event loop iteration. */
    private static final long LOOP_ITERATION_MILLIS = 1;

    private static final long LOOP_SHUTDOWN_SECONDS = 1;

    private final EventLoop loop;
    private final LoopLatencyClock latencyClock;
    private final SidecarConfig config;
    private final int requestCount;
    private final WarmUpRequests requests;
    private final WarmUpService service;
    private final BufferMemory memory;
    private final DownstreamListener listener;

    /** Counted down when enough requests have completed, or when the address cannot be bound. */
    private final CountDownLatch ended = new CountDownLatch(1);

    private int completedRequests;
    private boolean closing;

    private JvmWarmUp(
            EventLoop loop, LoopLatencyClock latencyClock, SidecarConfig config, int requestCount) {
        this.loop = loop;
        this.latencyClock = latencyClock;
        this.config = config;
        this.requestCount = requestCount;
        requests = new WarmUpRequests(config.settings());
        service = new WarmUpService(requests);
        memory = new BufferMemory(BufferLimits.ofJvm(), line -> {});
        listener =
                new DownstreamListener(
                        loop,
                        latencyClock,
                        service,
                        MAX_CONNECTIONS,
                        MAX_CONNECTIONS,
                        memory,
                        line -> {});
    }

    /**
     * Runs a warm-up with the given configuration until enough requests have completed or the
     * timeout has passed. Blocks; all sockets of the warm-up are closed when this method returns.
     *
     * @param requestCount number of responses after which the warm-up ends
     * @return the number of requests that received a response
     */
    static int run(SidecarConfig config, int requestCount, long timeoutMillis)
            throws InterruptedException {
        // Shutting down this separate loop ends all connections and timers of the warm-up.
        LoopLatencyClock latencyClock = new LoopLatencyClock();
        var group = latencyClock.group();
        JvmWarmUp warmUp = new JvmWarmUp(group.next(), latencyClock, config, requestCount);
        try {
            warmUp.loop.execute(warmUp::listen);
            warmUp.ended.await(timeoutMillis, TimeUnit.MILLISECONDS);
            CountDownLatch closed = new CountDownLatch(1);
            warmUp.loop.execute(() -> warmUp.close(closed::countDown));
            closed.await();
            return warmUp.completedRequests;
        } finally {
            group.shutdownGracefully(0, LOOP_SHUTDOWN_SECONDS, TimeUnit.SECONDS).await();
        }
    }

    private void listen() {
        listener.listen(config.listen()).addListener(this::onBound);
    }

    private void onBound(Future<? super Void> bound) {
        if (bound.isSuccess()) {
            startRequests(listener.address());
        } else {
            ended.countDown();
        }
    }

    /**
     * Closes the listener and runs the task once the address is free. The selector deregisters the
     * listening socket in a later loop iteration, and only then does the kernel free the address.
     */
    private void close(Runnable closed) {
        closing = true;
        listener.closeNow()
                .addListener(
                        f -> loop.schedule(closed, LOOP_ITERATION_MILLIS, TimeUnit.MILLISECONDS));
    }

    private void startRequests(InetSocketAddress address) {
        SidecarConfig warmUpConfig =
                config.with(MAX_CONNECTIONS, new EndpointList(0, true, endpointsAt(address)));
        SidecarServer sidecar =
                new SidecarServer(
                        loop,
                        latencyClock,
                        warmUpConfig,
                        new PrintStream(OutputStream.nullOutputStream()));
        service.forwardTo(sidecar.requestHandler());
        sidecar.deliverInitialEndpoints();
        for (int i = 0; i < CLIENTS; i++) {
            new WarmUpClient(loop, address, config.connectTimeoutMicros(), memory, requests, this)
                    .connect();
        }
    }

    private List<EndpointList.Entry> endpointsAt(InetSocketAddress address) {
        int zones = Math.max(1, config.settings().zones().size());
        List<EndpointList.Entry> endpoints = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            ListedEndpoint endpoint =
                    new ListedEndpoint(i, i % zones, 0, 0, EndpointPhase.READY, 0, 1);
            endpoints.add(new EndpointList.Entry(endpoint, address));
        }
        return endpoints;
    }

    @Override
    public boolean isRunning() {
        return !closing;
    }

    @Override
    public boolean onResponse() {
        completedRequests++;
        if (completedRequests >= requestCount) {
            ended.countDown();
            return false;
        }
        return !closing;
    }
}
