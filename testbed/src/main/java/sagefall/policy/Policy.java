package sagefall.policy;

import java.util.Map;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.LoadBalancer;

/** Something that decides for a fleet: sagefall's module, a build of it, or a baseline. */
public interface Policy extends AutoCloseable {

    /** How it is written on the command line, and in results. */
    String name();

    /**
     * A fresh instance for one sidecar's life. The settings and the facts say the same; the latter
     * as they stand on the wire.
     */
    LoadBalancer create(
            BalancerSettings settings,
            Map<String, Object> facts,
            BalancerActions actions,
            GroundTruth truth);

    @Override
    default void close() {}
}
