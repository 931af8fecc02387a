package sagefall.balancer;

import sagefall.balancer.admission.RequestQueue;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.RejectionReason;
import sagefall.balancer.request.Attempt;
import sagefall.balancer.request.PendingRequest;

/**
 * Closes requests. No other class rejects or fails a request, so that each request gets only one
 * final response.
 */
final class RequestCloser {
    private final BalancerActions actions;
    private final RequestQueue queue;
    private final OpenRequests openRequests;
    private final RetryAfterPolicy retryAfter;
    private final boolean cancellationAllowed;

    RequestCloser(
            BalancerSettings settings,
            BalancerActions actions,
            RequestQueue queue,
            OpenRequests openRequests,
            RetryAfterPolicy retryAfter) {
        this.actions = actions;
        this.queue = queue;
        this.openRequests = openRequests;
        this.retryAfter = retryAfter;
        cancellationAllowed = settings.limits().cancellationAllowed();
    }

    /**
     * Rejects a request if the client may retry it, and fails the request otherwise. Closes the
     * request in both cases.
     */
    void rejectOrFail(PendingRequest request, RejectionReason reason) {
        if (request.mayBeRejected()) {
            actions.reject(request.id(), retryAfter.nextMicros(), reason);
        } else {
            actions.fail(request.id(), reason);
        }
        close(request);
    }

    /**
     * Closes a request that needs no further response. Cancels the attempts in flight of the
     * request if the service limits allow cancellation.
     */
    void close(PendingRequest request) {
        if (request.isClosed()) {
            return;
        }
        queue.remove(request);
        request.close();
        if (cancellationAllowed) {
            for (Attempt attempt : request.attempts()) {
                if (!attempt.hasEnded()) {
                    actions.cancel(request.id(), attempt.number());
                }
            }
        }
        openRequests.removeIfFinished(request);
    }
}
