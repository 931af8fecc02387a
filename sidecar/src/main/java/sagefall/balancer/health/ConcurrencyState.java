package sagefall.balancer.health;

import java.util.ArrayDeque;
import sagefall.balancer.request.Attempt;

/** What {@link ConcurrencyLimiter} knows of one endpoint; times in microseconds. */
public final class ConcurrencyState {

    /** The attempts in flight, in the order in which the endpoint came to owe an answer. */
    final ArrayDeque<Attempt> inFlight = new ArrayDeque<>();

    /** Most attempts in flight; below 1 the endpoint rests between attempts. */
    double limit = ConcurrencyLimiter.INITIAL_LIMIT;

    /** When the limit was last cut for a slow answer. */
    long cutAt;

    /** Until when nothing is sent since the endpoint rejected a request. */
    long pausedUntil;

    /** Until when nothing is sent since the limit is below 1. */
    long restUntil;

    /** Number of attempts in flight. */
    public int inFlight() {
        return inFlight.size();
    }

    /** Whether no attempt is in flight. */
    public boolean isIdle() {
        return inFlight.isEmpty();
    }

    /** Most attempts in flight. */
    public double limit() {
        return limit;
    }

    /** Until when nothing is sent since the endpoint rejected a request. */
    public long pausedUntil() {
        return pausedUntil;
    }

    /** Until when nothing is sent since the limit is below 1. */
    public long restUntil() {
        return restUntil;
    }
}
