package sagefall.balancer.admission;

/**
 * Limits retries to a fraction of the arrived requests by a token bucket. Each arrived request adds
 * a fraction of a token; each retry takes one token. This prevents failures from multiplying the
 * load.
 */
public final class RetryBudget {

    /**
     * Number of tokens that an arrived request adds while all requests are admitted; one token
     * allows one retry.
     */
    private static final double RETRIES_PER_REQUEST = 0.15;

    /** Capacity of the token bucket, in tokens, while all requests are admitted. */
    private static final double MAX_SAVED_RETRIES = 10;

    private double tokens = MAX_SAVED_RETRIES / 2;

    /**
     * Adds tokens for an arrived request. While the admitted fraction is low, failures come from
     * overload rather than from faulty endpoints. So a request then adds fewer tokens, and the
     * capacity of the bucket is lower.
     *
     * @param admittedFraction fraction of the requests that is admitted, from 0 to 1
     */
    public void recordRequest(double admittedFraction) {
        tokens =
                Math.min(
                        MAX_SAVED_RETRIES * admittedFraction,
                        tokens + RETRIES_PER_REQUEST * admittedFraction);
    }

    /** Returns whether a retry may be sent. */
    public boolean allowsRetry() {
        return tokens >= 1;
    }

    /** Takes one token for a retry that is sent. */
    public void recordRetry() {
        tokens--;
    }
}
