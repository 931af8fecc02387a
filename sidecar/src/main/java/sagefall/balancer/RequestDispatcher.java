package sagefall.balancer;

import java.util.List;
import java.util.SplittableRandom;
import sagefall.balancer.admission.AdmissionController;
import sagefall.balancer.admission.RequestQueue;
import sagefall.balancer.admission.RetryBudget;
import sagefall.balancer.api.AttemptOutcome;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.RejectionReason;
import sagefall.balancer.api.Request;
import sagefall.balancer.health.EndpointHealth;
import sagefall.balancer.request.Attempt;
import sagefall.balancer.request.PendingRequest;
import sagefall.balancer.request.RecentExecutions;
import sagefall.balancer.request.RepeatPolicy;
import sagefall.balancer.routing.EndpointPicker;
import sagefall.balancer.routing.SubsetTree;

/**
 * Handles requests from their arrival to their one final response: admits or rejects, sends or
 * queues, retries and closes them. Owns the open requests and the queue.
 */
final class RequestDispatcher {

    /**
     * A request is rejected at once unless the time until its deadline is longer than the mean
     * latency target divided by this number, plus two timer ticks.
     */
    private static final int MIN_REMAINING_DIVISOR = 20;

    private final BalancerSettings settings;
    private final SplittableRandom random;
    private final double meanTargetMicros;
    private final SubsetTree subsets;
    private final AdmissionController admission;
    private final EndpointHealth health;
    private final RetryBudget retryBudget = new RetryBudget();
    private final OpenRequests openRequests = new OpenRequests();
    private final RequestQueue queue;
    private final RetryPolicy retryPolicy;
    private final RequestCloser closer;
    private final QueueDispatcher queueDispatcher;
    private final List<RepeatPolicy> repeatPolicies;
    private final RecentExecutions executions;

    RequestDispatcher(
            BalancerSettings settings,
            BalancerActions actions,
            SplittableRandom random,
            SubsetTree subsets,
            AdmissionController admission,
            EndpointHealth health,
            BalancerTimers timers) {
        this.settings = settings;
        this.random = random;
        this.subsets = subsets;
        this.admission = admission;
        this.health = health;
        meanTargetMicros = settings.meanLatencyTargetMicros();
        queue = new RequestQueue(settings, admission, health.latency());
        retryPolicy = new RetryPolicy(settings.limits(), retryBudget, queue, openRequests);
        RetryAfterPolicy retryAfter = new RetryAfterPolicy(settings, random);
        closer = new RequestCloser(settings, actions, queue, openRequests, retryAfter);
        executions = new RecentExecutions(settings.classes());
        queueDispatcher =
                new QueueDispatcher(
                        settings,
                        actions,
                        timers,
                        health.zoneLimits(),
                        queue,
                        openRequests,
                        new EndpointPicker(settings, random, subsets, health, admission),
                        new AttemptGate(settings, actions, health, retryBudget, executions),
                        retryPolicy,
                        closer);
        repeatPolicies =
                settings.classes().stream()
                        .map(requestClass -> new RepeatPolicy(requestClass, settings.tickMicros()))
                        .toList();
    }

    /**
     * Handles a request that has arrived. Ignores the request if another request with the same id
     * is open.
     */
    void onRequest(long now, Request arrived) {
        int tenants = Math.max(1, settings.tenants().size());
        PendingRequest request = new PendingRequest(now, arrived, repeatPolicies, tenants);
        if (!openRequests.add(request)) {
            return;
        }
        executions.applyTo(now, request);
        request.setRoutingSeed(random.nextLong());
        admission.countAgainstQuota(request);
        request.setCell(subsets.chooseCell(request, random));
        retryBudget.recordRequest(admission.admittedFraction());
        admission.recordRequest(now);
        health.silence().detectHangingAttempts(now);
        if (openRequests.size() > settings.limits().maxOpenRequests()) {
            closer.rejectOrFail(queue.leastValuable(request), RejectionReason.OPEN_REQUESTS);
        }
        if (request.isClosed()) {
            return;
        }
        RejectionReason reason = reasonForNoAdmission(now, request);
        if (reason != null) {
            closer.rejectOrFail(request, reason);
        } else {
            queueDispatcher.sendOrQueue(now, request);
        }
    }

    /** Returns the reason for not admitting a request; null if the request is admitted. */
    private RejectionReason reasonForNoAdmission(long now, PendingRequest request) {
        if (request.request().bufferBytes() > 0 && openRequests.isBufferLimitExceeded()) {
            // The open requests keep their buffers, so the new request is rejected at once.
            return RejectionReason.BUFFER_LIMIT;
        }
        if (request.isRepeatedTooLate(now)) {
            return RejectionReason.NOT_RETRYABLE;
        }
        long remainingMicros = request.request().deadlineMicros() - now;
        if (remainingMicros
                <= meanTargetMicros / MIN_REMAINING_DIVISOR + 2 * settings.tickMicros()) {
            // No timer could fire before the deadline. For example, a request that arrived at its
            // own deadline used to be queued and never got a response.
            return RejectionReason.TOO_LATE;
        }
        if (subsets.isSparse() && admission.shouldReject(request, random.nextDouble())) {
            return RejectionReason.ADMISSION;
        }
        return null;
    }

    /**
     * Handles the outcome of an attempt. The outcome may lead to a retry. Ignores the outcome if
     * the attempt is unknown or has ended before.
     */
    void onAttemptOutcome(long now, AttemptOutcome outcome) {
        Attempt attempt = openAttempt(outcome.requestId(), outcome.attempt());
        if (attempt == null) {
            return;
        }
        PendingRequest request = attempt.request();
        boolean wasStreaming = attempt.isStreaming();
        attempt.end(outcome.result());
        request.attemptEnded();
        executions.attemptEnded(request);
        health.stopAwaitingResponse(attempt);
        if (wasStreaming) {
            health.recordStreamEnd(now, attempt, outcome);
        } else {
            health.recordOutcome(now, attempt, outcome);
        }
        if (outcome.closed()) {
            closer.close(request);
        } else if (!request.isClosed() && !request.hasAttemptInFlight() && !request.isQueued()) {
            retryOrClose(now, request);
        }
        openRequests.removeIfFinished(request);
        queueDispatcher.sendQueued(now);
    }

    /** Returns the attempt with the given number; null if the attempt is unknown or has ended. */
    private Attempt openAttempt(String requestId, int number) {
        PendingRequest request = openRequests.get(requestId);
        Attempt attempt = request == null ? null : request.attempt(number);
        return attempt == null || attempt.hasEnded() ? null : attempt;
    }

    private void retryOrClose(long now, PendingRequest request) {
        if (retryPolicy.allows(now, request)) {
            queueDispatcher.sendOrQueue(now, request);
        } else {
            closer.rejectOrFail(request, retryPolicy.reasonForNoRetry(now, request));
        }
    }

    /**
     * Handles the first part of a streamed response. The latency of the attempt is measured up to
     * this point. The request is not retried any more.
     */
    void onStreamStarted(long now, String requestId, int number, long elapsedMicros) {
        Attempt attempt = openAttempt(requestId, number);
        if (attempt == null || attempt.request().isResponseStarted()) {
            return;
        }
        attempt.request().startResponse();
        attempt.startStreaming();
        health.stopAwaitingResponse(attempt);
        health.recordResponse(now, attempt, elapsedMicros);
        queueDispatcher.sendQueued(now);
    }

    /**
     * Handles the last byte of an upload. The endpoint can respond from now on. The client waits
     * for the response until the given deadline.
     */
    void onUploadComplete(long now, String requestId, long deadlineAt) {
        PendingRequest request = openRequests.get(requestId);
        if (request == null || !request.isUploading()) {
            return;
        }
        request.uploadCompleted(now, deadlineAt);
        if (request.hasAttemptInFlight()) {
            health.startAwaitingResponse(now, request.lastAttempt());
        }
    }

    /** Shortens the time of a request, for its retries and its time in the queue alike. */
    void onDeadlineShortened(String requestId, long deadlineAt) {
        PendingRequest request = openRequests.get(requestId);
        if (request != null) {
            request.times().shorten(deadlineAt);
        }
    }

    /** Notes that the body of an upload can't be sent to another endpoint any more. */
    void onReplayBufferExceeded(String requestId) {
        PendingRequest request = openRequests.get(requestId);
        if (request != null) {
            request.markReplayBufferExceeded();
        }
    }

    /**
     * Closes a request that needs no response from this instance any more: the client has
     * disconnected, or has got the response from elsewhere.
     */
    void onClientDisconnected(String requestId) {
        PendingRequest request = openRequests.get(requestId);
        if (request != null) {
            closer.close(request);
        }
    }

    /** Sends queued requests, see {@link QueueDispatcher#sendQueued}. */
    void sendQueued(long now) {
        queueDispatcher.sendQueued(now);
    }

    /** Rechecks a request whose queue timer has fired. */
    void recheckQueued(long now, PendingRequest request) {
        queueDispatcher.recheck(now, request);
    }

    /** Sets the bound on the stream buffers of all open requests, in bytes. */
    void onBufferLimit(long maxBytes) {
        openRequests.setBufferLimit(maxBytes);
    }
}
