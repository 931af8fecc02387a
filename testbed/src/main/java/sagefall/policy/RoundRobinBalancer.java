package sagefall.policy;

import java.util.List;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.Request;

/** Sends requests to the servers in turn, from a random one on. */
final class RoundRobinBalancer extends BaselineBalancer {

    private static final int FIRST_BOUND = 1 << 20;

    private int next;

    RoundRobinBalancer(BalancerSettings settings, BalancerActions actions) {
        super(settings, actions);
        next = random.nextInt(FIRST_BOUND);
    }

    @Override
    BaselineEndpoint pick(Request request, List<BaselineEndpoint> candidates) {
        return candidates.get(Math.floorMod(next++, candidates.size()));
    }
}
