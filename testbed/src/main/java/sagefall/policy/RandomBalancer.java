package sagefall.policy;

import java.util.List;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.Request;

/** Sends each request to a random ready server. */
final class RandomBalancer extends BaselineBalancer {

    RandomBalancer(BalancerSettings settings, BalancerActions actions) {
        super(settings, actions);
    }

    @Override
    BaselineEndpoint pick(Request request, List<BaselineEndpoint> candidates) {
        return candidates.get(random.nextInt(candidates.size()));
    }
}
