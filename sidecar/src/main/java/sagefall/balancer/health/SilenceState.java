package sagefall.balancer.health;

/** What {@link SilenceDetector} knows of one endpoint. */
public final class SilenceState {

    /** Attempts in flight that have been unanswered for too long. */
    int suspectedAttempts;

    /** When an attempt was last found to be unanswered for too long, in microseconds. */
    long lastSuspectedAt;
}
