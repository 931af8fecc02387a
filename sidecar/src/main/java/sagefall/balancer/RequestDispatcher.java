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
import sagefall.balancer.request.RepeatPolicy;
import sagefall.balancer.routing.EndpointPicker;
import sagefall.balancer.routing.SubsetTree;

/**
 * The way of a request from its arrival to its one answer: it is admitted or rejected, sent or
 * queued, retried and closed. Owns the open requests and the queue.
 */
final class RequestDispatcher {

    /** A request needs this part of a latency target to be of use, as a divisor. */
    private static final int MIN_REMAINING_DIVISOR = 20;

    private final BalancerSettings settings;
    private final SplittableRandom random;
    private final double targetMicros;
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
        targetMicros = settings.meanTargetLatencyMicros();
        queue = new RequestQueue(settings, admission, health.latency());
        retryPolicy = new RetryPolicy(settings.limits(), retryBudget, queue, openRequests);
        RetryAfterPolicy retryAfter = new RetryAfterPolicy(settings, random);
        closer = new RequestCloser(settings, actions, queue, openRequests, retryAfter);
        queueDispatcher =
                new QueueDispatcher(
                        settings,
                        actions,
                        timers,
                        health.zoneLimits(),
                        queue,
                        openRequests,
                        new EndpointPicker(settings, random, subsets, health, admission),
                        new AttemptGate(settings, actions, health, retryBudget),
                        retryPolicy,
                        closer);
        repeatPolicies =
                settings.classes().stream()
                        .map(rules -> new RepeatPolicy(rules, settings.tickMicros()))
                        .toList();
    }

    /** Takes a request that has arrived; one whose id is open is ignored. */
    void accept(long now, Request arrived) {
        int tenants = Math.max(1, settings.tenants().size());
        PendingRequest request = new PendingRequest(now, arrived, repeatPolicies, tenants);
        if (!openRequests.add(request)) {
            return;
        }
        request.setRoutingSeed(random.nextLong());
        admission.chargeTenant(request);
        request.setCell(subsets.chooseCell(request, random));
        retryBudget.recordRequest(admission.admittedFraction());
        admission.recordRequest(now);
        health.silence().check(now);
        if (openRequests.size() > settings.limits().maxOpenRequests()) {
            closer.giveUp(queue.leastValuable(request), RejectionReason.OPEN_REQUESTS);
        }
        if (request.isClosed()) {
            return;
        }
        RejectionReason reason = reasonAgainstAdmission(now, request);
        if (reason != null) {
            closer.giveUp(request, reason);
        } else {
            queueDispatcher.sendOrQueue(now, request);
        }
    }

    /** Why a request is not admitted; null if it is. */
    private RejectionReason reasonAgainstAdmission(long now, PendingRequest request) {
        if (request.request().bufferBytes() > 0 && openRequests.exceedBufferLimit()) {
            // Those that stream already go on; a new one is notified at once when to come back.
            return RejectionReason.BUFFER_LIMIT;
        }
        long remaining = request.request().deadlineMicros() - now;
        if (remaining <= targetMicros / MIN_REMAINING_DIVISOR + 2 * settings.tickMicros()) {
            // No time is left for a timer (incident i0f9bed: an arrival at its own deadline).
            return RejectionReason.TOO_LATE;
        }
        if (subsets.isSparse() && admission.sheds(request, random.nextDouble())) {
            return RejectionReason.ADMISSION;
        }
        return null;
    }

    /** Takes the outcome of an attempt; one that is not known, or known already, is ignored. */
    void onAttemptOutcome(long now, AttemptOutcome outcome) {
        Attempt attempt = openAttempt(outcome.requestId(), outcome.attempt());
        if (attempt == null) {
            return;
        }
        PendingRequest request = attempt.request();
        boolean streamed = attempt.isStreaming();
        attempt.end(outcome.result());
        request.attemptEnded();
        health.stopAwaiting(attempt);
        if (streamed) {
            health.recordStreamEnd(now, attempt, outcome);
        } else {
            health.recordOutcome(now, attempt, outcome);
        }
        if (outcome.closed()) {
            closer.close(request);
        } else if (!request.isClosed() && !request.hasAttemptInFlight() && !request.isQueued()) {
            retryOrGiveUp(now, request);
        }
        openRequests.removeIfFinished(request);
        queueDispatcher.sendQueued(now);
    }

    /** The attempt of an open request whose outcome is not known yet; null if there is none. */
    private Attempt openAttempt(String requestId, int number) {
        PendingRequest request = openRequests.get(requestId);
        Attempt attempt = request == null ? null : request.attempt(number);
        return attempt == null || attempt.hasEnded() ? null : attempt;
    }

    private void retryOrGiveUp(long now, PendingRequest request) {
        if (retryPolicy.allows(now, request)) {
            queueDispatcher.sendOrQueue(now, request);
        } else {
            closer.giveUp(request, retryPolicy.reasonAgainst(now, request));
        }
    }

    /** An answer begins to stream to the client: it stays with that attempt. */
    void onStreamStarted(long now, String requestId, int number, long elapsedMicros) {
        Attempt attempt = openAttempt(requestId, number);
        if (attempt == null || attempt.request().isResponseStarted()) {
            return;
        }
        attempt.request().startResponse();
        attempt.startStreaming();
        health.stopAwaiting(attempt);
        health.recordAnswer(now, attempt, elapsedMicros);
        queueDispatcher.sendQueued(now);
    }

    /** The last byte of an upload has come: from now on its endpoint owes an answer. */
    void onUploadComplete(long now, String requestId, long deadlineAt) {
        PendingRequest request = openRequests.get(requestId);
        if (request == null || !request.isUploading()) {
            return;
        }
        request.uploadCompleted(now, deadlineAt);
        if (request.hasAttemptInFlight()) {
            health.startAwaiting(now, request.lastAttempt());
        }
    }

    /** The body of an upload can't be sent to another endpoint any more. */
    void onReplayBufferExceeded(String requestId) {
        PendingRequest request = openRequests.get(requestId);
        if (request != null) {
            request.loseBody();
        }
    }

    /** The client left, or was answered by other means. */
    void onClientDisconnected(String requestId) {
        PendingRequest request = openRequests.get(requestId);
        if (request != null) {
            closer.close(request);
        }
    }

    /** Sends queued requests while endpoints have capacity. */
    void sendQueued(long now) {
        queueDispatcher.sendQueued(now);
    }

    /** Checks a request that was queued when its timer was asked for. */
    void checkQueued(long now, PendingRequest request) {
        queueDispatcher.check(now, request);
    }

    /** Sets the bound on the stream buffers of all open requests. */
    void limitBuffers(long maxBytes) {
        openRequests.limitBuffers(maxBytes);
    }
}
