package sagefall.policy;

import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.LoadBalancer;
import sagefall.emulator.SettingsMessage;

/** Something that decides for a fleet: sagefall's module, a build of it, or a baseline. */
public interface Policy extends AutoCloseable {

    /** How it is written on the command line, and in results. */
    String name();

    /** A fresh instance for one sidecar's life. The settings and the message say the same. */
    LoadBalancer create(
            BalancerSettings settings,
            SettingsMessage message,
            BalancerActions actions,
            GroundTruth truth);

    @Override
    default void close() {}
}
