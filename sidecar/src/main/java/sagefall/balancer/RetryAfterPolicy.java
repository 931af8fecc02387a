package sagefall.balancer;

import java.util.SplittableRandom;
import sagefall.balancer.api.BalancerSettings;

/**
 * The Retry-After of a rejection: a quarter to half of a latency target at random, so that the
 * clients that are rejected together do not come back together.
 */
final class RetryAfterPolicy {
    private final BalancerSettings settings;
    private final SplittableRandom random;
    private final double targetMicros;

    RetryAfterPolicy(BalancerSettings settings, SplittableRandom random) {
        this.settings = settings;
        this.random = random;
        targetMicros = settings.meanTargetLatencyMicros();
    }

    /** The next Retry-After, in microseconds; 0 where the site allows none. */
    long nextMicros() {
        if (!settings.limits().retryAfterAllowed()) {
            return Math.min(0, settings.limits().maxRetryAfterMicros());
        }
        double micros = targetMicros * (1 + random.nextDouble()) / 4;
        return Math.min((long) micros, settings.limits().maxRetryAfterMicros());
    }
}
