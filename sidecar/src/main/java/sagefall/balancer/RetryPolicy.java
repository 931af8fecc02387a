package sagefall.balancer;

import sagefall.balancer.admission.RequestQueue;
import sagefall.balancer.admission.RetryBudget;
import sagefall.balancer.api.RejectionReason;
import sagefall.balancer.api.ServiceLimits;
import sagefall.balancer.request.PendingRequest;

/**
 * Decides whether a request may be retried. Takes into account the idempotency of the request, the
 * replay buffer, the maximum number of attempts, the retry budget, and the time after which a
 * response would come too late.
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

    /** Returns whether a retry may be sent, now or from the queue. */
    boolean allows(long now, PendingRequest request) {
        return !isTooLate(now, request)
                && budget.allowsRetry()
                && isRetryable(request)
                && !hasMaxAttempts(request);
    }

    /**
     * Returns the reason why a request is not sent again. If no other reason applies, for example
     * because the attempt gate has refused an attempt, the reason is {@link
     * RejectionReason#TOO_LATE}.
     */
    RejectionReason reasonForNoRetry(long now, PendingRequest request) {
        if (!isRetryable(request)) {
            return RejectionReason.NOT_RETRYABLE;
        }
        if (hasMaxAttempts(request)) {
            return RejectionReason.MAX_ATTEMPTS;
        }
        boolean tooLate = isTooLate(now, request) || budget.allowsRetry();
        return tooLate ? RejectionReason.TOO_LATE : RejectionReason.RETRY_BUDGET;
    }

    private boolean isRetryable(PendingRequest request) {
        return !request.isReplayBufferExceeded() && request.mayBeRetried();
    }

    private boolean hasMaxAttempts(PendingRequest request) {
        return request.attempts().size() >= limits.maxAttempts();
    }

    private boolean isTooLate(long now, PendingRequest request) {
        return now >= queue.lastUsefulAt(request, openRequests.size());
    }
}
