package sagefall.policy;

import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.LoadBalancer;
import sagefall.emulator.SettingsMessage;

/** Something that decides for a fleet: the load balancer of a build, or a baseline. */
public interface Policy extends AutoCloseable {

    /** Its specification, as on the command line and in results. */
    String name();

    /**
     * Creates a load balancer for one process of a sidecar.
     *
     * @param settings as this build's load balancer reads them
     * @param message the same settings, as a host sends them to another build
     * @param actions what the load balancer can do
     * @param groundTruth for an oracle only
     */
    LoadBalancer create(
            BalancerSettings settings,
            SettingsMessage message,
            BalancerActions actions,
            GroundTruth groundTruth);

    @Override
    default void close() {}
}
