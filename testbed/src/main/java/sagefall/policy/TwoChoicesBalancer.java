package sagefall.policy;

import java.util.List;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.Request;

/**
 * Power of two choices: draws two random servers, possibly the same server twice, and picks the
 * server with the lower cost. The cost is the peak EWMA of the latency, multiplied by 1 + the
 * number of this sidecar's attempts in flight. The peak EWMA rises to a higher sample immediately
 * and decays exponentially towards lower samples. A server without a sample has cost 0. There are
 * no subsets and no concurrency limits.
 */
final class TwoChoicesBalancer extends BaselineBalancer {

    /** Time constant of the decay of the latency estimate, in microseconds. */
    private static final double DECAY_MICROS = 5e6;

    /** Minimum latency sample of an attempt that was not served, in microseconds. */
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
    void onAttemptEnded(
            long nowMicros, BaselineEndpoint endpoint, long elapsedMicros, boolean served) {
        double sample =
                served ? elapsedMicros : Math.max((double) elapsedMicros, MIN_FAILURE_MICROS);
        boolean isPeak = Double.isNaN(endpoint.latencyMicros) || sample > endpoint.latencyMicros;
        if (isPeak) {
            endpoint.latencyMicros = sample;
        } else {
            double weight = Math.exp(-(nowMicros - endpoint.sampledAtMicros) / DECAY_MICROS);
            endpoint.latencyMicros = sample + (endpoint.latencyMicros - sample) * weight;
        }
        endpoint.sampledAtMicros = nowMicros;
    }
}
