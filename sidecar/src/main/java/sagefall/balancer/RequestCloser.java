package sagefall.balancer;

import sagefall.balancer.admission.RequestQueue;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.RejectionReason;
import sagefall.balancer.request.Attempt;
import sagefall.balancer.request.PendingRequest;

/**
 * The end of requests. It is the single place where this instance gives a request its final answer,
 * so that each gets one.
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

    /** Gives a request up: rejects it where its client may retry it, else fails it. */
    void giveUp(PendingRequest request, RejectionReason reason) {
        if (request.mayBeRejected()) {
            actions.reject(request.id(), retryAfter.nextMicros(), reason);
        } else {
            actions.fail(request.id(), reason);
        }
        close(request);
    }

    /** The request has its final answer, whoever gave it: attempts in flight are cancelled. */
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
