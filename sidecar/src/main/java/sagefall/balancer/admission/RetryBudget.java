package sagefall.balancer.admission;

/** Further attempts as a part of first tries, so that failures can't multiply the load. */
public final class RetryBudget {

    /** Further attempts that a first try earns. */
    private static final double RETRY_SHARE = 0.15;

    /** How many further attempts are saved. */
    private static final double RETRY_SAVED = 10;

    private double tokens = RETRY_SAVED / 2;

    /**
     * A request has come; where little is let in, what fails is late, not sick: little is sent
     * again.
     */
    public void taken(double admitted) {
        tokens = Math.min(RETRY_SAVED * admitted, tokens + RETRY_SHARE * admitted);
    }

    public boolean allows() {
        return tokens >= 1;
    }

    /** A further attempt goes out. */
    public void spent() {
        tokens--;
    }
}
