package sagefall.balancer.request;

import sagefall.balancer.api.DeduplicationScope;
import sagefall.balancer.api.Idempotency;
import sagefall.balancer.api.RequestClass;
import sagefall.balancer.health.Endpoint;

/**
 * Decides by the idempotency of a request class whether a request may be retried, which endpoints a
 * retry may be sent to, and the latest time of a retry. Decides whether a request may be rejected.
 * A request must not take effect twice. So a client must not be asked to retry a request that has
 * possibly run and is not deduplicated.
 */
public final class RepeatPolicy {
    private final RequestClass requestClass;
    private final long tickMicros;

    /**
     * Creates the policy of a request class.
     *
     * @param tickMicros resolution of the host's timers; the host may send an attempt late by up to
     *     this duration
     */
    public RepeatPolicy(RequestClass requestClass, long tickMicros) {
        this.requestClass = requestClass;
        this.tickMicros = tickMicros;
    }

    /** Returns the request class of this policy. */
    RequestClass requestClass() {
        return requestClass;
    }

    /**
     * Returns whether the client may be asked to retry the request. This is so if the request may
     * run any number of times, if all endpoints deduplicate it by the idempotency key, or if no
     * attempt can have run.
     */
    boolean mayReject(PendingRequest request) {
        boolean deduplicatedEverywhere =
                requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                        && requestClass.deduplicationScope() == DeduplicationScope.ALL;
        return deduplicatedEverywhere
                || requestClass.idempotency() == Idempotency.IDEMPOTENT
                || request.firstPossibleExecution() == null;
    }

    /** Returns whether idempotency could allow a retry at some endpoint at some time. */
    boolean mayRetry(PendingRequest request) {
        return mayReject(request) || requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY;
    }

    /**
     * Returns the exclusive upper bound of the time at which an attempt may be sent. If the request
     * has an idempotency key and has possibly run, the bound is one tick before the end of the
     * deduplication window. Otherwise the bound is {@link Long#MAX_VALUE}.
     */
    long latestSendAt(PendingRequest request) {
        PossibleExecution first = request.firstPossibleExecution();
        if (first == null || requestClass.idempotency() != Idempotency.IDEMPOTENCY_KEY) {
            return Long.MAX_VALUE;
        }
        return first.sentAt() + requestClass.deduplicationWindowMicros() - tickMicros;
    }

    /**
     * Returns whether an attempt may be sent to the given endpoint now. At most one attempt of a
     * request is sent to each endpoint.
     */
    boolean maySendTo(long now, PendingRequest request, Endpoint endpoint) {
        if (request.wasSentTo(endpoint)) {
            return false;
        }
        PossibleExecution first = request.firstPossibleExecution();
        if (first == null || requestClass.idempotency() == Idempotency.IDEMPOTENT) {
            return true;
        }
        if (!maySendSomewhere(now, request)) {
            return false;
        }
        return switch (requestClass.deduplicationScope()) {
            case ALL -> true;
            case ZONE -> first.zone() == endpoint.entry().zone();
            case CELL -> first.cell() == endpoint.entry().cell();
        };
    }

    /** Returns whether an attempt may be sent to any endpoint now. */
    boolean maySendSomewhere(long now, PendingRequest request) {
        return request.firstPossibleExecution() == null
                || requestClass.idempotency() == Idempotency.IDEMPOTENT
                || (requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                        && now < latestSendAt(request));
    }
}
