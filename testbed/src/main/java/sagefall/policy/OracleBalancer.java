package sagefall.policy;

import java.util.List;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.Request;

/**
 * Sends each request to the server that is expected to respond first according to the true state of
 * the fleet. Rejects the request if no server is expected to respond within a fraction of the
 * latency target. The remainder of the latency target is a margin: even the oracle does not know
 * the work of an individual request.
 */
final class OracleBalancer extends BaselineBalancer {

    /**
     * A request is sent only if the expected response time is less than this fraction of the
     * latency target.
     */
    private static final double MAX_LATENCY_TARGET_FRACTION = 0.5;

    private final GroundTruth groundTruth;

    OracleBalancer(BalancerSettings settings, BalancerActions actions, GroundTruth groundTruth) {
        super(settings, actions);
        this.groundTruth = groundTruth;
    }

    @Override
    BaselineEndpoint pick(Request request, List<BaselineEndpoint> candidates) {
        BaselineEndpoint best = null;
        double leastMicros =
                MAX_LATENCY_TARGET_FRACTION * settings.classes().get(0).latencyTargetMicros();
        for (BaselineEndpoint candidate : candidates) {
            double expectedMicros =
                    groundTruth.expectedResponseMicros(candidate.id, settings.zone());
            if (expectedMicros < leastMicros) {
                leastMicros = expectedMicros;
                best = candidate;
            }
        }
        return best;
    }
}
