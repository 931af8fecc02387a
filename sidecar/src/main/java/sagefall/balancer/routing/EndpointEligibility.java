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
 * Decides whether an endpoint has capacity for a request. Takes into account concurrency limits,
 * pauses, slow start, trials of ejected endpoints and the set-up time of connections.
 */
final class EndpointEligibility {

    /**
     * Fraction of its fair request rate that a cold or half-open endpoint is sent, as a multiple of
     * its slow start share.
     */
    private static final double SLOW_START = 1;

    private final BalancerSettings settings;
    private final SubsetTree subsets;
    private final EndpointHealth health;
    private final AdmissionController admission;
    private final double meanTargetMicros;

    EndpointEligibility(
            BalancerSettings settings,
            SubsetTree subsets,
            EndpointHealth health,
            AdmissionController admission) {
        this.settings = settings;
        this.subsets = subsets;
        this.health = health;
        this.admission = admission;
        meanTargetMicros = settings.meanLatencyTargetMicros();
    }

    /**
     * Returns whether the request may be sent to the given endpoint now.
     *
     * @param candidates maximum number of candidates in the searched node of the subset tree,
     *     including the given endpoint
     */
    boolean hasCapacity(long now, PendingRequest request, Endpoint endpoint, int candidates) {
        ConcurrencyState concurrency = endpoint.concurrency();
        if (health.zoneLimits().of(endpoint).isFull()
                || now < concurrency.pausedUntil()
                || endpoint.isSilent()) {
            return false;
        }
        if (!request.maySendTo(now, endpoint) || !isConnectable(now, request, endpoint)) {
            return false;
        }
        if (endpoint.outlier().isEjected()) {
            return now >= endpoint.outlier().ejectedUntil() && admitTrial(now, request, endpoint);
        }
        double share = health.slowStart().share(now, endpoint);
        if (share < 1 && !isAllowedInSlowStart(request, endpoint, share, candidates)) {
            return false;
        }
        return concurrency.inFlight() < concurrency.limit()
                && (subsets.isSparse() || now >= concurrency.nextSendAt());
    }

    /**
     * Returns whether a cold endpoint may be sent the request. The concurrency limit and the
     * request rate of a cold endpoint are reduced.
     */
    private boolean isAllowedInSlowStart(
            PendingRequest request, Endpoint endpoint, double share, int candidates) {
        ConcurrencyState concurrency = endpoint.concurrency();
        return concurrency.inFlight() < Math.max(1, concurrency.limit() * share / 2)
                && isSampled(request, endpoint, share, candidates);
    }

    /**
     * Returns whether the endpoint has a trusted connection for the request, or a new connection
     * may be set up. A set-up is not allowed during the backoff after a failed set-up. Otherwise it
     * is allowed if the response would still be in time.
     *
     * <p>Only a set-up shows that set-ups have become fast again, for example after this process
     * itself was slow. So a set-up is allowed to any endpoint without attempts in flight, even if
     * the response would be late. Where many sidecars share few endpoints, this exception applies
     * only if the last set-up was measured more than one mean latency target ago. Drawback: late
     * responses while set-ups are slow.
     */
    private boolean isConnectable(long now, PendingRequest request, Endpoint endpoint) {
        ConnectionTrust connections = health.connections();
        if (connections.hasTrustedConnection(now, endpoint)) {
            return true;
        }
        if (now < endpoint.connection().connectAt()) {
            return false;
        }
        boolean mayMeasureSetup =
                endpoint.concurrency().isIdle()
                        && (!subsets.isSparse()
                                || now - connections.lastSetupAt() > meanTargetMicros);
        return mayMeasureSetup
                || now + connections.setupMicros(now) + health.latency().typicalMicros(request)
                        <= request.times().latencyTargetAt();
    }

    /**
     * Returns whether a random draw selects the request for a cold or half-open endpoint. Each
     * request that is routed to a node of the subset tree is selected with a probability of the
     * given share, multiplied by the admitted fraction and divided by the number of candidates. So
     * all instances together send the endpoint that share of its fair request rate. No allowance
     * accumulates, so no burst can result.
     */
    private boolean isSampled(
            PendingRequest request, Endpoint endpoint, double share, int candidates) {
        double probability =
                SLOW_START * share * admission.admittedFraction() / Math.max(1, candidates);
        return RendezvousHash.uniform(request.routingSeed(), endpoint.id()) < probability;
    }

    /**
     * Returns whether the request is sent as the trial of a half-open endpoint. Only the first
     * attempt of a request can be a trial. If the settings have an idempotent request class, only a
     * request of such a class can be a trial. The probability is that of {@link #isSampled} for a
     * sole candidate, with the initial slow start share divided by the backoff level. If attempts
     * are still in flight at the endpoint, the ejection is extended instead.
     */
    private boolean admitTrial(long now, PendingRequest request, Endpoint endpoint) {
        if (!endpoint.concurrency().isIdle()) {
            int inFlight = endpoint.concurrency().inFlight();
            health.outliers().eject(now, endpoint, EjectionCause.trialUnanswered(inFlight));
        }
        if (now < endpoint.outlier().ejectedUntil()) {
            return false;
        }
        boolean idempotent = request.requestClass().idempotency() == Idempotency.IDEMPOTENT;
        if (!request.attempts().isEmpty() || (!idempotent && settings.anyIdempotentClass())) {
            return false;
        }
        double share = health.slowStart().initialShare() / endpoint.outlier().backoffLevel();
        return isSampled(request, endpoint, share, 1);
    }
}
