package sagefall.balancer.health;

/** State of one endpoint for {@link OutlierDetector}. */
public final class OutlierState {

    /** Number of failures since the last response or ejection. */
    int consecutiveFailures;

    /**
     * Number of doublings of the next backoff, before the maximum number of doublings is applied.
     * Each ejection and each extension adds 1; a readmission subtracts 1.
     */
    int backoffLevel;

    /** End of the backoff of the ejection, in microseconds; 0 while the endpoint is not ejected. */
    long ejectedUntil;

    /** Returns whether the endpoint is ejected, or half-open after the backoff. */
    public boolean isEjected() {
        return ejectedUntil != 0;
    }

    /**
     * Returns the earliest time of a trial, in microseconds; 0 while the endpoint is not ejected.
     */
    public long ejectedUntil() {
        return ejectedUntil;
    }

    /**
     * Returns the number of doublings of the next backoff, before the maximum is applied. Each
     * ejection and each extension adds 1; a readmission subtracts 1, but not below 0.
     */
    public int backoffLevel() {
        return backoffLevel;
    }
}
