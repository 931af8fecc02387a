package sagefall.balancer;

import java.util.HashMap;
import java.util.Map;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.request.PendingRequest;

/**
 * Schedules timers with the host, and keeps the queued request that each timer rechecks. The kind
 * of a timer is the token of the timer modulo the number of kinds.
 */
final class BalancerTimers {

    /** Kind of the timers that recheck a queued request. */
    private static final int QUEUED_REQUEST = 0;

    /** Kind of the timers that poll discovery. */
    private static final int DISCOVERY_POLL = 1;

    /** Number of timer kinds. */
    private static final int TIMER_KINDS = 2;

    private final BalancerActions actions;
    private final Map<Long, PendingRequest> queuedRequests = new HashMap<>();
    private long lastTimerNumber;

    BalancerTimers(BalancerActions actions) {
        this.actions = actions;
    }

    /** Schedules a timer that rechecks a queued request. */
    void scheduleRecheck(long fireAt, PendingRequest request) {
        long token = nextToken(QUEUED_REQUEST);
        queuedRequests.put(token, request);
        actions.scheduleTimer(fireAt, token);
    }

    /** Schedules a timer that polls discovery. */
    void scheduleDiscoveryPoll(long fireAt) {
        actions.scheduleTimer(fireAt, nextToken(DISCOVERY_POLL));
    }

    private long nextToken(int kind) {
        lastTimerNumber++;
        return lastTimerNumber * TIMER_KINDS + kind;
    }

    /** Returns whether the timer with the given token polls discovery. */
    boolean isDiscoveryPoll(long token) {
        return token % TIMER_KINDS == DISCOVERY_POLL;
    }

    /**
     * Returns the request that the timer with the given token rechecks, and forgets the timer.
     * Returns null if the timer is of another kind or has been forgotten.
     */
    PendingRequest takeQueuedRequest(long token) {
        return queuedRequests.remove(token);
    }
}
