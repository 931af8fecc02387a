package sagefall.balancer.health;

/** State of one endpoint for {@link SilenceDetector}. */
public final class SilenceState {

    /** Number of attempts in flight that have been without a response for too long. */
    int suspectedAttempts;

    /**
     * Time at which an attempt was last found to be without a response for too long, in
     * microseconds.
     */
    long lastSuspectedAt;
}
