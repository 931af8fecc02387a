package sagefall.proxy;

import java.util.List;
import sagefall.balancer.api.EndpointListKind;
import sagefall.discovery.AddressTakeovers;
import sagefall.discovery.DiscoveryClient;
import sagefall.discovery.EndpointList;
import sagefall.proxy.upstream.ConnectionPool;

/**
 * Passes endpoint lists to the connection pool, the balancer and the {@link EndpointRecorder}. Used
 * on the event loop only.
 */
final class EndpointUpdates implements DiscoveryClient.Listener {

    private final BalancerDriver driver;
    private final ConnectionPool pool;
    private final EndpointRecorder recorder;
    private final Runnable onDiscoveryResult;
    private final AddressTakeovers takeovers = new AddressTakeovers();

    /**
     * @param onDiscoveryResult task that runs after each endpoint list and each failure of
     *     discovery
     */
    EndpointUpdates(
            BalancerDriver driver,
            ConnectionPool pool,
            EndpointRecorder recorder,
            Runnable onDiscoveryResult) {
        this.driver = driver;
        this.pool = pool;
        this.recorder = recorder;
        this.onDiscoveryResult = onDiscoveryResult;
    }

    /** Passes an endpoint list to the connection pool and the balancer, without recording it. */
    void apply(EndpointListKind kind, EndpointList reported) {
        EndpointList list = takeovers.apply(reported);
        pool.update(list);
        driver.deliver(
                (balancer, now) ->
                        balancer.onEndpointList(now, kind, list.revision(), list.endpoints()));
    }

    @Override
    public void onEndpointList(EndpointList list) {
        apply(list.complete() ? EndpointListKind.COMPLETE : EndpointListKind.CHANGES, list);
        recorder.record(list);
        onDiscoveryResult.run();
    }

    @Override
    public void onFailure(String reason) {
        driver.deliver(
                (balancer, now) ->
                        balancer.onEndpointList(now, EndpointListKind.FAILED, List.of()));
        onDiscoveryResult.run();
    }
}
