package sagefall.balancer.request;

import sagefall.balancer.api.DeduplicationScope;
import sagefall.balancer.api.Idempotency;
import sagefall.balancer.api.RequestClass;
import sagefall.balancer.health.Endpoint;

/**
 * What the idempotency of a class of requests allows: whether one may be retried or rejected, where
 * and until when. It prevents that an effect happens twice, and that a client is asked to retry
 * what may have run.
 */
public final class RepeatPolicy {
    private final RequestClass rules;
    private final long tickMicros;

    /**
     * @param tickMicros resolution of the host's timers, by which a send may come late
     */
    public RepeatPolicy(RequestClass rules, long tickMicros) {
        this.rules = rules;
        this.tickMicros = tickMicros;
    }

    /** The class of requests that this policy is for. */
    RequestClass rules() {
        return rules;
    }

    /** Whether the client may be asked to retry: a repeat would do no harm, or nothing has run. */
    boolean mayReject(PendingRequest request) {
        boolean deduplicatedEverywhere =
                rules.idempotency() == Idempotency.IDEMPOTENCY_KEY
                        && rules.deduplicationScope() == DeduplicationScope.ALL;
        return deduplicatedEverywhere
                || rules.idempotency() == Idempotency.IDEMPOTENT
                || request.firstPossiblyExecuted() == null;
    }

    /** Whether idempotency could allow a retry at all. */
    boolean mayRetry(PendingRequest request) {
        return mayReject(request) || rules.idempotency() == Idempotency.IDEMPOTENCY_KEY;
    }

    /**
     * From when on nothing more of a request with an idempotency key may be sent, once it may have
     * run; {@link Long#MAX_VALUE} where any time is right.
     */
    long latestSendAt(PendingRequest request) {
        Attempt first = request.firstPossiblyExecuted();
        if (first == null || rules.idempotency() != Idempotency.IDEMPOTENCY_KEY) {
            return Long.MAX_VALUE;
        }
        return first.sentAt() + rules.deduplicationWindowMicros() - tickMicros;
    }

    /** Whether an attempt may go to this endpoint now; never two to the same one. */
    boolean mayRunOn(long now, PendingRequest request, Endpoint endpoint) {
        if (request.wasSentTo(endpoint)) {
            return false;
        }
        Attempt first = request.firstPossiblyExecuted();
        if (first == null || rules.idempotency() == Idempotency.IDEMPOTENT) {
            return true;
        }
        if (rules.idempotency() == Idempotency.NOT_IDEMPOTENT || now >= latestSendAt(request)) {
            return false;
        }
        return switch (rules.deduplicationScope()) {
            case ALL -> true;
            case ZONE -> first.endpoint().entry().zone() == endpoint.entry().zone();
            case CELL -> first.endpoint().entry().cell() == endpoint.entry().cell();
        };
    }
}
