package sagefall.balancer.health;

/** What {@link OutlierDetector} knows of one endpoint. */
public final class OutlierState {

    /** Failures since the last answer or ejection. */
    int consecutiveFailures;

    /** Ejections that no answer has made up for; each doubles the next backoff. */
    int backoffLevel;

    /** Until when it is ejected, in microseconds; 0 while it is not ejected. */
    long ejectedUntil;

    /** Whether it is ejected, or half-open after that. */
    public boolean isEjected() {
        return ejectedUntil != 0;
    }

    /** From when on it may be sent a trial, in microseconds. */
    public long ejectedUntil() {
        return ejectedUntil;
    }

    /** Ejections that no answer has made up for. */
    public int backoffLevel() {
        return backoffLevel;
    }
}
