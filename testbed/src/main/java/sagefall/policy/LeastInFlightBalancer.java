package sagefall.policy;

import java.util.List;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.Request;

/** Sends to the server with the fewest own attempts in flight; a random one of equal servers. */
final class LeastInFlightBalancer extends BaselineBalancer {

    LeastInFlightBalancer(BalancerSettings settings, BalancerActions actions) {
        super(settings, actions);
    }

    @Override
    BaselineEndpoint pick(Request request, List<BaselineEndpoint> candidates) {
        int least = Integer.MAX_VALUE;
        int equal = 0;
        BaselineEndpoint best = null;
        for (BaselineEndpoint candidate : candidates) {
            if (candidate.inFlight < least) {
                least = candidate.inFlight;
                equal = 0;
            }
            if (candidate.inFlight == least && random.nextInt(++equal) == 0) {
                best = candidate;
            }
        }
        return best;
    }
}
