package sagefall.balancer.admission;

/**
 * Retries as a part of first attempts: a token bucket that first attempts fill. It prevents that
 * failures multiply the load.
 */
public final class RetryBudget {

    /** Retries that a first attempt earns. */
    private static final double RETRIES_PER_REQUEST = 0.15;

    /** Most retries that are saved up. */
    private static final double MAX_SAVED_RETRIES = 10;

    private double tokens = MAX_SAVED_RETRIES / 2;

    /**
     * A request has arrived while this fraction is admitted; where little is, what fails is late,
     * not sick, and little is retried.
     */
    public void recordRequest(double admittedFraction) {
        tokens =
                Math.min(
                        MAX_SAVED_RETRIES * admittedFraction,
                        tokens + RETRIES_PER_REQUEST * admittedFraction);
    }

    /** Whether a retry may be sent. */
    public boolean allowsRetry() {
        return tokens >= 1;
    }

    /** A retry is sent. */
    public void recordRetry() {
        tokens--;
    }
}
