package sagefall.policy;

import java.util.List;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.Request;

/**
 * Power of two choices: of two random servers the one with the lower peak EWMA of the latency x (1
 * + own attempts in flight); no subsets, no limits.
 */
final class TwoChoicesBalancer extends BaselineBalancer {

    private static final double DECAY_MICROS = 5e6;

    /** The least sample of an attempt that was not served. */
    private static final double MIN_FAILURE_MICROS = 1e6;

    TwoChoicesBalancer(BalancerSettings settings, BalancerActions actions) {
        super(settings, actions);
    }

    @Override
    BaselineEndpoint pick(Request request, List<BaselineEndpoint> candidates) {
        BaselineEndpoint first = candidates.get(random.nextInt(candidates.size()));
        BaselineEndpoint second = candidates.get(random.nextInt(candidates.size()));
        return cost(first) <= cost(second) ? first : second;
    }

    private static double cost(BaselineEndpoint endpoint) {
        double latency = Double.isNaN(endpoint.latencyMicros) ? 0 : endpoint.latencyMicros;
        return latency * (1 + endpoint.inFlight);
    }

    @Override
    void learn(long nowMicros, BaselineEndpoint endpoint, long elapsedMicros, boolean served) {
        double sample =
                served ? elapsedMicros : Math.max((double) elapsedMicros, MIN_FAILURE_MICROS);
        boolean peak = Double.isNaN(endpoint.latencyMicros) || sample > endpoint.latencyMicros;
        if (peak) {
            endpoint.latencyMicros = sample;
        } else {
            double weight = Math.exp(-(nowMicros - endpoint.sampledAtMicros) / DECAY_MICROS);
            endpoint.latencyMicros = sample + (endpoint.latencyMicros - sample) * weight;
        }
        endpoint.sampledAtMicros = nowMicros;
    }
}
