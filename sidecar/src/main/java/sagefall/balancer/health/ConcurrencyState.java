package sagefall.balancer.health;

import java.util.ArrayDeque;
import sagefall.balancer.request.Attempt;

/** State of one endpoint for {@link ConcurrencyLimiter}; times in microseconds. */
public final class ConcurrencyState {

    /** Attempts in flight, in the order in which the sidecar began to wait for their responses. */
    final ArrayDeque<Attempt> inFlight = new ArrayDeque<>();

    /**
     * Maximum number of attempts in flight. If the limit is below 1, the sidecar pauses between
     * attempts.
     */
    double limit = ConcurrencyLimiter.INITIAL_LIMIT;

    /** Time of the last cut of the limit after a slow response. */
    long lastCutAt;

    /** End of the pause in sending after the endpoint rejected a request. */
    long pausedUntil;

    /**
     * Earliest time of the next attempt. It is later than the last response only if the limit was
     * below 1.
     */
    long nextSendAt;

    /** Returns the number of attempts in flight. */
    public int inFlight() {
        return inFlight.size();
    }

    /** Returns whether no attempt is in flight. */
    public boolean isIdle() {
        return inFlight.isEmpty();
    }

    /** Returns the maximum number of attempts in flight. */
    public double limit() {
        return limit;
    }

    /** Returns the end of the pause in sending after the endpoint rejected a request. */
    public long pausedUntil() {
        return pausedUntil;
    }

    /**
     * Returns the earliest time of the next attempt. It is later than the last response only if the
     * limit was below 1.
     */
    public long nextSendAt() {
        return nextSendAt;
    }
}
