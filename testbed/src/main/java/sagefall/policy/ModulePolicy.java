package sagefall.policy;

import sagefall.balancer.DefaultLoadBalancer;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.LoadBalancer;
import sagefall.emulator.SettingsMessage;

/** Policy that uses the load balancer of this build. */
public final class ModulePolicy implements Policy {

    @Override
    public String name() {
        return "module";
    }

    @Override
    public LoadBalancer create(
            BalancerSettings settings,
            SettingsMessage message,
            BalancerActions actions,
            GroundTruth groundTruth) {
        return new DefaultLoadBalancer(settings, actions);
    }
}
