package sagefall.proxy;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.RejectionReason;
import sagefall.discovery.DiscoveryClient;

/**
 * Implements the balancer's actions by passing each one to the part of the sidecar that carries it
 * out. Used on the event loop only.
 */
final class ProxyActions implements BalancerActions {

    private final EventLoop loop;
    private final WallClock clock;
    private final BalancerDriver driver;
    private final AttemptForwarder forwarder;
    private final ResponseWriter responses;
    private final DiscoveryClient discovery;
    private final Consumer<String> log;

    ProxyActions(
            EventLoop loop,
            WallClock clock,
            BalancerDriver driver,
            AttemptForwarder forwarder,
            ResponseWriter responses,
            DiscoveryClient discovery,
            Consumer<String> log) {
        this.loop = loop;
        this.clock = clock;
        this.driver = driver;
        this.forwarder = forwarder;
        this.responses = responses;
        this.discovery = discovery;
        this.log = log;
    }

    @Override
    public void send(String requestId, long endpoint, long timeoutMicros, long latestStartMicros) {
        forwarder.send(requestId, endpoint, timeoutMicros, latestStartMicros);
    }

    @Override
    public void cancel(String requestId, int attempt) {
        forwarder.cancel(requestId, attempt);
    }

    @Override
    public void reject(String requestId, long retryAfterMicros, RejectionReason reason) {
        responses.reject(requestId, retryAfterMicros);
    }

    @Override
    public void fail(String requestId, RejectionReason reason) {
        responses.fail(requestId);
    }

    @Override
    public void scheduleTimer(long atMicros, long token) {
        loop.schedule(
                () -> driver.deliver((balancer, now) -> balancer.onTimer(now, token)),
                Math.max(0, atMicros - clock.micros()),
                TimeUnit.MICROSECONDS);
    }

    @Override
    public void closeIdleConnections(long endpoint) {
        forwarder.pool().closeIdle(endpoint);
    }

    @Override
    public void requestEndpointUpdates() {
        discovery.subscribe();
    }

    @Override
    public void log(String line) {
        log.accept(line);
    }
}
