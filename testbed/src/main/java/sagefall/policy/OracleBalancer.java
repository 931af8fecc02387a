package sagefall.policy;

import java.util.List;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.Request;

/**
 * Sends to where the answer would come first by the true state, and rejects what would come too
 * near to its latency objective: the rest is for the spread of the work, which even an oracle is
 * not given.
 */
final class OracleBalancer extends BaselineBalancer {

    /** Share of the latency objective that an expected answer may take. */
    private static final double MAX_OBJECTIVE_SHARE = 0.5;

    private final GroundTruth groundTruth;

    OracleBalancer(BalancerSettings settings, BalancerActions actions, GroundTruth groundTruth) {
        super(settings, actions);
        this.groundTruth = groundTruth;
    }

    @Override
    BaselineEndpoint pick(Request request, List<BaselineEndpoint> candidates) {
        BaselineEndpoint best = null;
        double least = MAX_OBJECTIVE_SHARE * settings.classes().get(0).latencyTargetMicros();
        for (BaselineEndpoint candidate : candidates) {
            double micros = groundTruth.expectedAnswerMicros(candidate.id, settings.zone());
            if (micros < least) {
                least = micros;
                best = candidate;
            }
        }
        return best;
    }
}
