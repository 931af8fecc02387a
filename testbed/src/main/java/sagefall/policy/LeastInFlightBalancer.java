package sagefall.policy;

import java.util.List;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.Request;

/**
 * Sends each request to the server with the fewest attempts of this sidecar in flight; ties are
 * broken at random.
 */
final class LeastInFlightBalancer extends BaselineBalancer {

    LeastInFlightBalancer(BalancerSettings settings, BalancerActions actions) {
        super(settings, actions);
    }

    @Override
    BaselineEndpoint pick(Request request, List<BaselineEndpoint> candidates) {
        int least = Integer.MAX_VALUE;
        int tiedCount = 0;
        BaselineEndpoint best = null;
        for (BaselineEndpoint candidate : candidates) {
            if (candidate.inFlight < least) {
                least = candidate.inFlight;
                tiedCount = 0;
            }
            // Reservoir sampling: picks each of the tied servers with equal probability.
            if (candidate.inFlight == least && random.nextInt(++tiedCount) == 0) {
                best = candidate;
            }
        }
        return best;
    }
}
