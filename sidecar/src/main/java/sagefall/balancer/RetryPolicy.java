package sagefall.balancer;

import sagefall.balancer.admission.RequestQueue;
import sagefall.balancer.admission.RetryBudget;
import sagefall.balancer.api.RejectionReason;
import sagefall.balancer.api.ServiceLimits;
import sagefall.balancer.request.PendingRequest;

/**
 * Whether a request gets a retry, and why not: by its effect, the site's maximum of attempts, the
 * retry budget, its body and the time that is left.
 */
final class RetryPolicy {
    private final ServiceLimits limits;
    private final RetryBudget budget;
    private final RequestQueue queue;
    private final OpenRequests openRequests;

    RetryPolicy(
            ServiceLimits limits,
            RetryBudget budget,
            RequestQueue queue,
            OpenRequests openRequests) {
        this.limits = limits;
        this.budget = budget;
        this.queue = queue;
        this.openRequests = openRequests;
    }

    /** Whether a retry may be sent, now or from the queue. */
    boolean allows(long now, PendingRequest request) {
        return !isLate(now, request)
                && budget.allowsRetry()
                && isRepeatable(request)
                && !hasMaxAttempts(request);
    }

    /** What keeps a request from a retry. */
    RejectionReason reasonAgainst(long now, PendingRequest request) {
        if (!isRepeatable(request)) {
            return RejectionReason.NOT_RETRYABLE;
        }
        if (hasMaxAttempts(request)) {
            return RejectionReason.MAX_ATTEMPTS;
        }
        boolean late = isLate(now, request) || budget.allowsRetry();
        return late ? RejectionReason.TOO_LATE : RejectionReason.RETRY_BUDGET;
    }

    private boolean isRepeatable(PendingRequest request) {
        return !request.isBodyLost() && request.mayBeRetried();
    }

    private boolean hasMaxAttempts(PendingRequest request) {
        return request.attempts().size() >= limits.maxAttempts();
    }

    private boolean isLate(long now, PendingRequest request) {
        return now >= queue.lastUsefulAt(request, openRequests.size());
    }
}
