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
import sagefall.config.SidecarConfig;
import sagefall.discovery.EndpointList;
import sagefall.proxy.downstream.DownstreamListener;

/**
 * Made-up requests before the first real one, so that the runtime has loaded and compiled the code
 * that requests use: a second {@link SidecarServer} between {@link WarmUpClient}s and a {@link
 * WarmUpService}, which stands for all of its endpoints behind the address that the real sidecar
 * will listen on. Nothing of it outlasts the warm-up but compiled code, and nothing leaves the
 * process.
 *
 * <p>Without it a sidecar is open to all of its clients while each of their requests costs tens of
 * times its usual CPU time and the compiler takes half of what there is; what then waits is late,
 * is retried, and keeps the process busy for seconds. That holds for whatever is scarce at the
 * start, be it the share of a core or a busy neighbour. Harm: the time that it takes is added to
 * the time that a restart takes, so it ends by the clock as well as by count; meanwhile {@code
 * /healthz} answers 503.
 */
final class JvmWarmUp implements WarmUpClient.Progress {

    private static final int ENDPOINTS = 8;
    private static final int CLIENTS = 4;
    private static final int MAX_CONNECTIONS = 128;

    /** Enough for the loop to begin another iteration. */
    private static final long LOOP_ITERATION_MILLIS = 1;

    private static final long LOOP_SHUTDOWN_SECONDS = 1;

    private final EventLoop loop;
    private final LoopLatencyClock latencyClock;
    private final SidecarConfig config;
    private final int requestCount;
    private final WarmUpRequests requests;
    private final WarmUpService service;
    private final DownstreamListener listener;

    /** Open until enough requests are answered, or the warm-up cannot start. */
    private final CountDownLatch ended = new CountDownLatch(1);

    private int answered;
    private boolean closing;

    private JvmWarmUp(
            EventLoop loop, LoopLatencyClock latencyClock, SidecarConfig config, int requestCount) {
        this.loop = loop;
        this.latencyClock = latencyClock;
        this.config = config;
        this.requestCount = requestCount;
        requests = new WarmUpRequests(config.settings());
        service = new WarmUpService(requests);
        listener = new DownstreamListener(loop, latencyClock, service, MAX_CONNECTIONS, line -> {});
    }

    /**
     * Sends so many requests, or as many as there is time for. Blocks; its sockets are closed when
     * it returns.
     *
     * @return how many were answered
     */
    static int run(SidecarConfig config, int requestCount, long timeoutMillis)
            throws InterruptedException {
        // A loop of its own: with it go all connections and timers of the warm-up.
        LoopLatencyClock latencyClock = new LoopLatencyClock();
        var group = latencyClock.group();
        JvmWarmUp warmUp = new JvmWarmUp(group.next(), latencyClock, config, requestCount);
        try {
            warmUp.loop.execute(warmUp::listen);
            warmUp.ended.await(timeoutMillis, TimeUnit.MILLISECONDS);
            CountDownLatch closed = new CountDownLatch(1);
            warmUp.loop.execute(() -> warmUp.close(closed::countDown));
            closed.await();
            return warmUp.answered;
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
     * The kernel lets go of the address only when the selector, in a later iteration of the loop,
     * has let go of the listening socket.
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
            new WarmUpClient(loop, address, config.connectTimeoutMicros(), requests, this)
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
    public boolean onAnswered() {
        answered++;
        if (answered >= requestCount) {
            ended.countDown();
            return false;
        }
        return !closing;
    }
}
