package sagefall.balancer.request;

import sagefall.balancer.api.DeduplicationScope;
import sagefall.balancer.api.Idempotency;
import sagefall.balancer.api.RequestClass;
import sagefall.balancer.health.Endpoint;

/**
 * Decides by the idempotency of a request class whether a request may be retried, at which
 * endpoints and until when, and whether it may be rejected. A request must not take effect twice,
 * so a client must not be asked to retry a request that may have run and is not deduplicated.
 */
public final class RepeatPolicy {
    private final RequestClass requestClass;
    private final long tickMicros;

    /**
     * Creates the policy of a request class.
     *
     * @param tickMicros resolution of the host's timers, by which an attempt may be sent late
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
     * Returns whether the client may be asked to retry the request: the request may run any number
     * of times, or all endpoints deduplicate it by its idempotency key, or no attempt can have run.
     */
    boolean mayReject(PendingRequest request) {
        boolean deduplicatedEverywhere =
                requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                        && requestClass.deduplicationScope() == DeduplicationScope.ALL;
        return deduplicatedEverywhere
                || requestClass.idempotency() == Idempotency.IDEMPOTENT
                || request.firstThatMayHaveRun() == null;
    }

    /** Returns whether idempotency could allow a retry, at some endpoint and time. */
    boolean mayRetry(PendingRequest request) {
        return mayReject(request) || requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY;
    }

    /**
     * Returns the point in time from which on no attempt may be sent: one tick before the end of
     * the deduplication window if the request has an idempotency key and may have run, else {@link
     * Long#MAX_VALUE}.
     */
    long latestSendAt(PendingRequest request) {
        Attempt first = request.firstThatMayHaveRun();
        if (first == null || requestClass.idempotency() != Idempotency.IDEMPOTENCY_KEY) {
            return Long.MAX_VALUE;
        }
        return first.sentAt() + requestClass.deduplicationWindowMicros() - tickMicros;
    }

    /**
     * Returns whether an attempt may be sent to this endpoint now. No endpoint is sent two attempts
     * of a request.
     */
    boolean maySendTo(long now, PendingRequest request, Endpoint endpoint) {
        if (request.wasSentTo(endpoint)) {
            return false;
        }
        Attempt first = request.firstThatMayHaveRun();
        if (first == null || requestClass.idempotency() == Idempotency.IDEMPOTENT) {
            return true;
        }
        if (requestClass.idempotency() == Idempotency.NOT_IDEMPOTENT
                || now >= latestSendAt(request)) {
            return false;
        }
        return switch (requestClass.deduplicationScope()) {
            case ALL -> true;
            case ZONE -> first.endpoint().entry().zone() == endpoint.entry().zone();
            case CELL -> first.endpoint().entry().cell() == endpoint.entry().cell();
        };
    }
}
