package sagefall.policy;

import java.util.List;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.Request;

/** Sends requests to the servers in turn, starting with a random one. */
final class RoundRobinBalancer extends BaselineBalancer {

    /** The initial value of {@code nextPosition} is random and less than this bound. */
    private static final int FIRST_POSITION_BOUND = 1 << 20;

    private int nextPosition;

    RoundRobinBalancer(BalancerSettings settings, BalancerActions actions) {
        super(settings, actions);
        nextPosition = random.nextInt(FIRST_POSITION_BOUND);
    }

    @Override
    BaselineEndpoint pick(Request request, List<BaselineEndpoint> candidates) {
        return candidates.get(Math.floorMod(nextPosition++, candidates.size()));
    }
}
