package sagefall.balancer.admission;

import java.util.ArrayList;
import java.util.List;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.health.LatencyEstimator;
import sagefall.balancer.request.PendingRequest;
import sagefall.balancer.request.RequestTimes;

/**
 * Holds the requests that wait for an endpoint with capacity. Decides which request is sent next,
 * which request is rejected when too many are open, and for how long a request stays queued. The
 * bound on that time leaves the client enough time to retry while a response can still be in time.
 */
public final class RequestQueue {

    /**
     * Maximum time for which a request is queued while many requests are open, as a fraction of the
     * time between the arrival and the deadline of the request.
     */
    private static final double MAX_QUEUED_PART = 0.45;

    /**
     * Interval between two rechecks of a queued request, as a multiple of the mean latency target.
     */
    private static final double RECHECK_TARGETS = 0.125;

    private final BalancerSettings settings;
    private final AdmissionController admission;
    private final LatencyEstimator latency;
    private final double meanTargetMicros;
    private final List<PendingRequest> queued = new ArrayList<>();

    /** Creates an empty queue. */
    public RequestQueue(
            BalancerSettings settings, AdmissionController admission, LatencyEstimator latency) {
        this.settings = settings;
        this.admission = admission;
        this.latency = latency;
        meanTargetMicros = settings.meanLatencyTargetMicros();
    }

    /** Returns the number of queued requests. */
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

    /**
     * Returns the request that is sent next. Requests within the quota of their tenant precede
     * requests over the quota. Among equals the newest request is next. Returns null if the queue
     * is empty.
     */
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
     * Returns the request that is rejected when the number of open requests exceeds the maximum. It
     * is the request of the least weight among the queued requests and the new request. Among
     * equals it is the oldest request, because that request has the least time left until its
     * deadline. A new request has all of its time left.
     *
     * @param arrived the new request, which is not queued
     */
    public PendingRequest leastValuable(PendingRequest arrived) {
        PendingRequest least = null;
        for (PendingRequest request : queued) {
            if (least == null || admission.weight(request) < admission.weight(least)) {
                least = request;
            }
        }
        boolean isArrivedLeast =
                least == null || admission.weight(arrived) < admission.weight(least);
        return isArrivedLeast ? arrived : least;
    }

    /** Returns the time of the next check of a queued request, in microseconds. */
    public long nextRecheckAt(long now, PendingRequest request, int openRequests) {
        long recheckAt = now + (long) (meanTargetMicros * RECHECK_TARGETS);
        return Math.max(now + 1, Math.min(lastUsefulAt(request, openRequests), recheckAt));
    }

    /**
     * Returns the exclusive upper bound of the points in time, in microseconds, at which it is
     * useful to keep a request queued. The bound is the earliest of these times:
     *
     * <ul>
     *   <li>two ticks of the host's timers before the deadline;
     *   <li>a little less than halfway between arrival and deadline, if more than half of the
     *       maximum number of requests are open and the request cannot have run at any endpoint.
     *       The client can then still retry, and the client connection becomes free for requests
     *       that can be served in time;
     *   <li>the latest time at which an attempt of typical latency would still get a response in
     *       time, if a late response has no weight.
     * </ul>
     */
    public long lastUsefulAt(PendingRequest request, int openRequests) {
        RequestTimes times = request.times();
        long lastUseful = times.deadlineAt() - 2 * settings.tickMicros();
        if (request.firstPossibleExecution() == null
                && openRequests > settings.limits().maxOpenRequests() / 2) {
            long total = times.deadlineAt() - times.arrivedAt();
            long latest = times.arrivedAt() + (long) (MAX_QUEUED_PART * total);
            lastUseful = Math.min(lastUseful, latest);
        }
        if (request.requestClass().lateWeightShare() == 0) {
            long latestInTime = times.latencyTargetAt() - (long) latency.typicalMicros(request);
            lastUseful = Math.min(lastUseful, latestInTime);
        }
        return lastUseful;
    }
}
