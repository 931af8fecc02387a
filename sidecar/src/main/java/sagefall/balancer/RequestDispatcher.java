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
import sagefall.balancer.health.Endpoint;
import sagefall.balancer.health.EndpointHealth;
import sagefall.balancer.request.Attempt;
import sagefall.balancer.request.PendingRequest;
import sagefall.balancer.request.RepeatPolicy;
import sagefall.balancer.routing.EndpointPicker;
import sagefall.balancer.routing.SubsetTree;
import sagefall.logging.LogEvent;
import sagefall.logging.LogLine;

/**
 * The way of a request from its arrival to its one answer: it is admitted or rejected, queued while
 * no endpoint has capacity, sent, retried and closed. Owns the open requests and the queue.
 */
final class RequestDispatcher {

    /** Latency targets from one log line on the queue to the next. */
    private static final int QUEUE_LOG_INTERVAL_TARGETS = 10;

    /** A request needs this part of a latency target to be of use, as a divisor. */
    private static final int MIN_REMAINING_DIVISOR = 20;

    private final BalancerSettings settings;
    private final BalancerActions actions;
    private final SplittableRandom random;
    private final double targetMicros;
    private final SubsetTree subsets;
    private final AdmissionController admission;
    private final EndpointHealth health;
    private final EndpointPicker picker;
    private final BalancerTimers timers;
    private final RetryBudget retryBudget = new RetryBudget();
    private final OpenRequests openRequests = new OpenRequests();
    private final RequestQueue queue;
    private final AttemptGate gate;
    private final RetryPolicy retryPolicy;
    private final RequestCloser closer;
    private final List<RepeatPolicy> repeatPolicies;
    private long queueLoggedAt;

    RequestDispatcher(
            BalancerSettings settings,
            BalancerActions actions,
            SplittableRandom random,
            SubsetTree subsets,
            AdmissionController admission,
            EndpointHealth health,
            BalancerTimers timers) {
        this.settings = settings;
        this.actions = actions;
        this.random = random;
        this.subsets = subsets;
        this.admission = admission;
        this.health = health;
        this.timers = timers;
        targetMicros = settings.meanTargetLatencyMicros();
        picker = new EndpointPicker(settings, random, subsets, health, admission);
        queue = new RequestQueue(settings, admission, health.latency());
        gate = new AttemptGate(settings, actions, health, retryBudget);
        retryPolicy = new RetryPolicy(settings.limits(), retryBudget, queue, openRequests);
        RetryAfterPolicy retryAfter = new RetryAfterPolicy(settings, random);
        closer = new RequestCloser(settings, actions, queue, openRequests, retryAfter);
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
            sendOrQueue(now, request);
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

    private void sendOrQueue(long now, PendingRequest request) {
        if (request.isClosed() || request.isQueued()) {
            return;
        }
        queue.add(request);
        sendQueued(now);
        if (!request.isQueued()) {
            return;
        }
        if (health.zoneLimits().anyFull()) {
            // The others have no endpoint to offer: whoever waits would be late, and make others
            // late.
            closer.giveUp(request, RejectionReason.ZONE_FULL);
            return;
        }
        scheduleQueueCheck(now, request);
        logQueue(now);
    }

    private void scheduleQueueCheck(long now, PendingRequest request) {
        long at = queue.nextCheckAt(now, request, openRequests.size());
        timers.scheduleQueueCheck(at, request);
    }

    private void logQueue(long now) {
        if (now - queueLoggedAt < QUEUE_LOG_INTERVAL_TARGETS * targetMicros) {
            return;
        }
        queueLoggedAt = now;
        actions.log(
                LogLine.of(LogEvent.REQUEST_QUEUE_NOT_EMPTY)
                        .with("queued", queue.size())
                        .with("reason", "no_endpoint_with_capacity")
                        .toString());
    }

    /** Sends queued requests while endpoints have capacity. */
    void sendQueued(long now) {
        PendingRequest next = queue.next();
        while (next != null) {
            Endpoint endpoint = picker.pick(now, next);
            if (endpoint == null) {
                return;
            }
            queue.remove(next);
            boolean sent = gate.send(now, next, endpoint);
            if (!sent && !next.isClosed() && !next.hasAttemptInFlight()) {
                closer.giveUp(next, retryPolicy.reasonAgainst(now, next));
            }
            next = queue.next();
        }
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
        sendQueued(now);
    }

    /** The attempt of an open request whose outcome is not known yet; null if there is none. */
    private Attempt openAttempt(String requestId, int number) {
        PendingRequest request = openRequests.get(requestId);
        Attempt attempt = request == null ? null : request.attempt(number);
        return attempt == null || attempt.hasEnded() ? null : attempt;
    }

    private void retryOrGiveUp(long now, PendingRequest request) {
        if (retryPolicy.allows(now, request)) {
            sendOrQueue(now, request);
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
        sendQueued(now);
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

    /** Sets the bound on the stream buffers of all open requests. */
    void limitBuffers(long maxBytes) {
        openRequests.limitBuffers(maxBytes);
    }

    /** Checks a request that was queued when its timer was asked for. */
    void checkQueued(long now, PendingRequest request) {
        if (request.isResponseStarted() || !request.isQueued()) {
            return;
        }
        if (now >= queue.lastUsefulAt(request, openRequests.size())) {
            closer.giveUp(request, RejectionReason.QUEUE_TIMEOUT);
        } else if (health.zoneLimits().anyFull()) {
            closer.giveUp(request, RejectionReason.ZONE_FULL);
        } else {
            scheduleQueueCheck(now, request);
            sendQueued(now);
        }
    }
}
