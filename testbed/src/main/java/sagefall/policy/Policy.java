package sagefall.policy;

import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.LoadBalancer;
import sagefall.emulator.SettingsMessage;

/** Creates the load balancers of an emulated fleet, one for each sidecar process. */
public interface Policy extends AutoCloseable {

    /**
     * Returns the specification of this policy. The specification is used on the command line and
     * in results.
     */
    String name();

    /**
     * Creates the load balancer of one sidecar process.
     *
     * @param settings settings in the form that this build's load balancer uses
     * @param message {@code settings} in the form that a host sends to another build
     * @param actions actions that the load balancer can perform
     * @param groundTruth true state of the fleet, for the oracle only
     */
    LoadBalancer create(
            BalancerSettings settings,
            SettingsMessage message,
            BalancerActions actions,
            GroundTruth groundTruth);

    @Override
    default void close() {}
}
