package sagefall.balancer.admission;

import java.util.ArrayList;
import java.util.List;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.health.LatencyEstimator;
import sagefall.balancer.request.PendingRequest;
import sagefall.balancer.request.RequestTimes;

/**
 * Requests that wait for an endpoint with capacity: which is next, which gives way, until when
 * waiting is of use. It prevents that requests wait until no answer can be in time, while their
 * clients could still retry.
 */
public final class RequestQueue {

    /** Part of its time for which a request is queued at most while many requests are open. */
    private static final double MAX_QUEUED_PART = 0.45;

    /** Part of the latency target after which a queued request is rechecked. */
    private static final double RECHECK_TARGETS = 0.125;

    private final BalancerSettings settings;
    private final AdmissionController admission;
    private final LatencyEstimator latency;
    private final double targetMicros;
    private final List<PendingRequest> queued = new ArrayList<>();

    /** Creates an empty queue. */
    public RequestQueue(
            BalancerSettings settings, AdmissionController admission, LatencyEstimator latency) {
        this.settings = settings;
        this.admission = admission;
        this.latency = latency;
        targetMicros = settings.meanTargetLatencyMicros();
    }

    /** Number of queued requests. */
    public int size() {
        return queued.size();
    }

    /** Adds a request that is not queued. */
    public void add(PendingRequest request) {
        request.enqueue();
        queued.add(request);
    }

    /** Removes a request, if it is queued. */
    public void remove(PendingRequest request) {
        if (request.isQueued()) {
            queued.remove(request);
        }
        request.dequeue();
    }

    /** The request that is sent next: within quota first, of equals the newest; null if empty. */
    public PendingRequest next() {
        PendingRequest best = null;
        for (PendingRequest request : queued) {
            if (best == null || best.isOverQuota() || !request.isOverQuota()) {
                best = request;
            }
        }
        return best;
    }

    /**
     * Past the most open requests that the instance may have, the queued or new request of the
     * least weight gives way, of equals the oldest: its time is the shortest, and a client that
     * can't get in loses its own.
     */
    public PendingRequest leastValuable(PendingRequest arrived) {
        PendingRequest least = null;
        for (PendingRequest request : queued) {
            if (least == null || admission.weight(request) < admission.weight(least)) {
                least = request;
            }
        }
        boolean arrivedIsLeast =
                least == null || admission.weight(arrived) < admission.weight(least);
        return arrivedIsLeast ? arrived : least;
    }

    /** When a queued request is rechecked, in microseconds. */
    public long nextCheckAt(long now, PendingRequest request, int openRequests) {
        long recheckAt = now + (long) (targetMicros * RECHECK_TARGETS);
        return Math.max(now + 1, Math.min(lastUsefulAt(request, openRequests), recheckAt));
    }

    /**
     * Until when a queued request may still earn something; after that it is rejected, which costs
     * nothing. Where more than half of the requests that may be open are, one that no endpoint may
     * have is rejected before half of its time: its client can still retry, and its connection is
     * free for what is in time.
     */
    public long lastUsefulAt(PendingRequest request, int openRequests) {
        RequestTimes times = request.times();
        long lastUseful = times.deadlineAt() - 2 * settings.tickMicros();
        if (request.firstPossiblyExecuted() == null
                && openRequests > settings.limits().maxOpenRequests() / 2) {
            long total = times.deadlineAt() - times.arrivedAt();
            long latest = times.arrivedAt() + (long) (MAX_QUEUED_PART * total);
            lastUseful = Math.min(lastUseful, latest);
        }
        if (request.rules().lateWeightShare() == 0) {
            long inTime = times.objectiveAt() - (long) latency.typicalMicros(request);
            lastUseful = Math.min(lastUseful, inTime);
        }
        return lastUseful;
    }
}
