package sagefall.balancer;

import java.util.SplittableRandom;
import sagefall.balancer.api.BalancerSettings;

/**
 * Chooses the Retry-After of rejections: a random duration between a quarter and half of the mean
 * latency target. The duration is random so that clients do not retry at the same time after their
 * requests were rejected together.
 */
final class RetryAfterPolicy {
    private final BalancerSettings settings;
    private final SplittableRandom random;
    private final double meanTargetMicros;

    RetryAfterPolicy(BalancerSettings settings, SplittableRandom random) {
        this.settings = settings;
        this.random = random;
        meanTargetMicros = settings.meanLatencyTargetMicros();
    }

    /**
     * Returns the Retry-After of the next rejection, in microseconds. The value is at most the
     * maximum of the service limits. It is 0 if the service limits allow no Retry-After.
     */
    long nextMicros() {
        if (!settings.limits().retryAfterAllowed()) {
            return Math.min(0, settings.limits().maxRetryAfterMicros());
        }
        double micros = meanTargetMicros * (1 + random.nextDouble()) / 4;
        return Math.min((long) micros, settings.limits().maxRetryAfterMicros());
    }
}
