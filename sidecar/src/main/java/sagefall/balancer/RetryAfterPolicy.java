package sagefall.balancer;

import java.util.SplittableRandom;
import sagefall.balancer.api.BalancerSettings;

/**
 * Chooses the Retry-After of rejections. It lies between a quarter and half of the mean latency
 * target, at random, so that clients whose requests are rejected together do not retry at the same
 * time.
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
     * Returns the Retry-After of the next rejection, in microseconds, at most the longest that the
     * service limits allow; 0 if they allow none.
     */
    long nextMicros() {
        if (!settings.limits().retryAfterAllowed()) {
            return Math.min(0, settings.limits().maxRetryAfterMicros());
        }
        double micros = meanTargetMicros * (1 + random.nextDouble()) / 4;
        return Math.min((long) micros, settings.limits().maxRetryAfterMicros());
    }
}
