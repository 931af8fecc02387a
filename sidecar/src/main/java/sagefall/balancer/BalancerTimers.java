package sagefall.balancer;

import java.util.HashMap;
import java.util.Map;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.request.PendingRequest;

/** The timers that the host was asked for, and what each is for. */
final class BalancerTimers {

    /** Kind of the timer of a queued request, in the low bits of its token. */
    private static final int QUEUED_REQUEST = 0;

    /** Kind of the timer for the next poll of discovery, in the low bits of its token. */
    private static final int DISCOVERY_POLL = 1;

    /** Number of kinds of timer. */
    private static final int TIMER_KINDS = 2;

    private final BalancerActions actions;
    private final Map<Long, PendingRequest> queuedRequests = new HashMap<>();
    private long lastNumber;

    BalancerTimers(BalancerActions actions) {
        this.actions = actions;
    }

    /** Asks for a timer that rechecks a queued request. */
    void scheduleQueueCheck(long at, PendingRequest request) {
        long token = nextToken(QUEUED_REQUEST);
        queuedRequests.put(token, request);
        actions.scheduleTimer(at, token);
    }

    /** Asks for a timer that polls discovery. */
    void scheduleDiscoveryPoll(long at) {
        actions.scheduleTimer(at, nextToken(DISCOVERY_POLL));
    }

    private long nextToken(int kind) {
        lastNumber++;
        return lastNumber * TIMER_KINDS + kind;
    }

    /** Whether a timer that has fired is for a poll of discovery. */
    boolean isDiscoveryPoll(long token) {
        return token % TIMER_KINDS == DISCOVERY_POLL;
    }

    /** The request that a timer was for, once; null if it was for none. */
    PendingRequest takeQueuedRequest(long token) {
        return queuedRequests.remove(token);
    }
}
