package sagefall.balancer.routing;

import sagefall.balancer.admission.AdmissionController;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.Idempotency;
import sagefall.balancer.health.ConcurrencyState;
import sagefall.balancer.health.ConnectionTrust;
import sagefall.balancer.health.EjectionCause;
import sagefall.balancer.health.Endpoint;
import sagefall.balancer.health.EndpointHealth;
import sagefall.balancer.request.PendingRequest;

/**
 * Whether an endpoint has capacity for a request: concurrency limits, pauses, slow start, trials of
 * ejected endpoints, and the cost of a new connection.
 */
final class EndpointEligibility {

    /** Part of its fair rate that a cold or half-open endpoint is sent, before its share. */
    private static final double SLOW_START = 1;

    private final BalancerSettings settings;
    private final SubsetTree subsets;
    private final EndpointHealth health;
    private final AdmissionController admission;
    private final double targetMicros;

    EndpointEligibility(
            BalancerSettings settings,
            SubsetTree subsets,
            EndpointHealth health,
            AdmissionController admission) {
        this.settings = settings;
        this.subsets = subsets;
        this.health = health;
        this.admission = admission;
        targetMicros = settings.meanTargetLatencyMicros();
    }

    /**
     * Whether the request may go to this endpoint now.
     *
     * @param candidates how many endpoints the pick looks at, this one among them
     */
    boolean hasCapacity(long now, PendingRequest request, Endpoint endpoint, int candidates) {
        ConcurrencyState concurrency = endpoint.concurrency();
        if (health.zoneLimits().of(endpoint).isFull()
                || now < concurrency.pausedUntil()
                || endpoint.isSilent()) {
            return false;
        }
        if (!request.mayRunOn(now, endpoint) || !isConnectable(now, request, endpoint)) {
            return false;
        }
        if (endpoint.outlier().isEjected()) {
            return now >= endpoint.outlier().ejectedUntil() && mayTry(now, request, endpoint);
        }
        double share = health.slowStart().share(now, endpoint);
        if (share < 1 && !isSlowStartTurn(request, endpoint, share, candidates)) {
            return false;
        }
        return concurrency.inFlight() < concurrency.limit()
                && (subsets.isSparse() || now >= concurrency.restUntil());
    }

    private boolean isSlowStartTurn(
            PendingRequest request, Endpoint endpoint, double share, int candidates) {
        ConcurrencyState concurrency = endpoint.concurrency();
        return concurrency.inFlight() < Math.max(1, concurrency.limit() * share / 2)
                && isDrawn(request, endpoint, share, candidates);
    }

    /**
     * Where set-ups have taken too long lately, a new connection brings no answer in time. But only
     * a set-up shows that they have become short, after a slow spell of this very process too: an
     * endpoint with nothing in flight is tried all the same, by one of many sidecars once a latency
     * target. Harm: late answers where they are slow.
     */
    private boolean isConnectable(long now, PendingRequest request, Endpoint endpoint) {
        ConnectionTrust connections = health.connections();
        if (connections.isWarm(now, endpoint)) {
            return true;
        }
        if (now < endpoint.connection().connectAt()) {
            return false;
        }
        boolean trial =
                endpoint.concurrency().isIdle()
                        && (!subsets.isSparse() || now - connections.lastSetupAt() > targetMicros);
        return trial
                || now + connections.setupMicros(now) + health.latency().typicalMicros(request)
                        <= request.times().objectiveAt();
    }

    /**
     * Slow start as a sum over all instances: each request that walks to a node has one chance, by
     * that share of what one of its endpoints is sent. Nothing is saved up, so no burst can come of
     * it.
     */
    private boolean isDrawn(
            PendingRequest request, Endpoint endpoint, double share, int candidates) {
        double part = SLOW_START * share * admission.admittedFraction() / Math.max(1, candidates);
        return RendezvousHash.uniform(request.routingSeed(), endpoint.id()) < part;
    }

    /**
     * Whether a request is the trial of a half-open endpoint: as if the endpoint were cold, less
     * often with each failure, by a first attempt that may be repeated.
     */
    private boolean mayTry(long now, PendingRequest request, Endpoint endpoint) {
        if (!endpoint.concurrency().isIdle()) {
            int inFlight = endpoint.concurrency().inFlight();
            health.outliers().eject(now, endpoint, EjectionCause.trialUnanswered(inFlight));
        }
        if (now < endpoint.outlier().ejectedUntil()) {
            return false;
        }
        boolean idempotent = request.rules().idempotency() == Idempotency.IDEMPOTENT;
        if (!request.attempts().isEmpty() || (!idempotent && settings.anyIdempotentClass())) {
            return false;
        }
        double share = health.slowStart().initialShare() / endpoint.outlier().backoffLevel();
        return isDrawn(request, endpoint, share, 1);
    }
}
