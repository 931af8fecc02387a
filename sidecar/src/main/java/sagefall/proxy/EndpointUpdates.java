package sagefall.proxy;

import java.util.List;
import sagefall.balancer.api.EndpointListKind;
import sagefall.discovery.DiscoveryClient;
import sagefall.discovery.EndpointList;
import sagefall.proxy.upstream.ConnectionPool;

/**
 * Endpoint lists on their way to the connection pool, to the balancer and to those that persist
 * them. Used on the event loop only.
 */
final class EndpointUpdates implements DiscoveryClient.Listener {

    private final BalancerDriver driver;
    private final ConnectionPool pool;
    private final EndpointRecorder recorder;
    private final Runnable discoveryAnswered;

    /**
     * @param discoveryAnswered runs after each list and each failure of discovery
     */
    EndpointUpdates(
            BalancerDriver driver,
            ConnectionPool pool,
            EndpointRecorder recorder,
            Runnable discoveryAnswered) {
        this.driver = driver;
        this.pool = pool;
        this.recorder = recorder;
        this.discoveryAnswered = discoveryAnswered;
    }

    /** Applies a list that was known before discovery answered. */
    void apply(EndpointListKind kind, EndpointList list) {
        pool.update(list);
        driver.deliver(
                (balancer, now) ->
                        balancer.onEndpointList(now, kind, list.revision(), list.endpoints()));
    }

    @Override
    public void listed(EndpointList list) {
        apply(list.complete() ? EndpointListKind.COMPLETE : EndpointListKind.CHANGES, list);
        recorder.record(list);
        discoveryAnswered.run();
    }

    @Override
    public void failed(String reason) {
        driver.deliver(
                (balancer, now) ->
                        balancer.onEndpointList(now, EndpointListKind.FAILED, List.of()));
        discoveryAnswered.run();
    }
}
