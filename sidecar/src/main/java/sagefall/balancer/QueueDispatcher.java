package sagefall.balancer;

import sagefall.balancer.admission.RequestQueue;
import sagefall.balancer.admission.ZoneConcurrencyLimits;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.RejectionReason;
import sagefall.balancer.health.Endpoint;
import sagefall.balancer.request.PendingRequest;
import sagefall.balancer.routing.EndpointPicker;
import sagefall.logging.LogEvent;
import sagefall.logging.LogLine;

/**
 * Sends queued requests, in the order of the queue, to the endpoints that {@link EndpointPicker}
 * picks for them. A request stays queued while no endpoint has capacity. It is rejected or failed
 * when a response would come too late.
 */
final class QueueDispatcher {

    /**
     * Minimum time between two log lines on the queue, as a multiple of the mean latency target.
     */
    private static final int QUEUE_LOG_INTERVAL_TARGETS = 10;

    private final BalancerActions actions;
    private final BalancerTimers timers;
    private final ZoneConcurrencyLimits zoneLimits;
    private final RequestQueue queue;
    private final OpenRequests openRequests;
    private final EndpointPicker picker;
    private final AttemptGate gate;
    private final RetryPolicy retryPolicy;
    private final RequestCloser closer;
    private final double meanTargetMicros;
    private long queueLoggedAt;

    QueueDispatcher(
            BalancerSettings settings,
            BalancerActions actions,
            BalancerTimers timers,
            ZoneConcurrencyLimits zoneLimits,
            RequestQueue queue,
            OpenRequests openRequests,
            EndpointPicker picker,
            AttemptGate gate,
            RetryPolicy retryPolicy,
            RequestCloser closer) {
        this.actions = actions;
        this.timers = timers;
        this.zoneLimits = zoneLimits;
        this.queue = queue;
        this.openRequests = openRequests;
        this.picker = picker;
        this.gate = gate;
        this.retryPolicy = retryPolicy;
        this.closer = closer;
        meanTargetMicros = settings.meanLatencyTargetMicros();
    }

    /**
     * Sends a request if an endpoint has capacity, and queues it otherwise. While a zone is at its
     * concurrency limit, rejects or fails the request instead of queueing it.
     */
    void sendOrQueue(long now, PendingRequest request) {
        if (request.isClosed() || request.isQueued()) {
            return;
        }
        queue.add(request);
        sendQueued(now);
        if (!request.isQueued()) {
            return;
        }
        if (zoneLimits.isAnyZoneFull()) {
            // No endpoint of any zone has capacity. A queued request would be late, and would make
            // later requests late.
            closer.rejectOrFail(request, RejectionReason.ZONE_FULL);
            return;
        }
        scheduleRecheck(now, request);
        logQueue(now);
    }

    /**
     * Sends queued requests until the queue is empty or no endpoint has capacity for the next
     * request. A request that the attempt gate does not send is rejected or failed.
     */
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
                closer.rejectOrFail(next, retryPolicy.reasonForNoRetry(now, next));
            }
            next = queue.next();
        }
    }

    /**
     * Rechecks a request whose timer has fired. Does nothing if the request is no longer queued. If
     * a response would come too late, or if a zone is at its concurrency limit, the request is
     * rejected or failed. Otherwise the next recheck is scheduled.
     */
    void recheck(long now, PendingRequest request) {
        if (request.isResponseStarted() || !request.isQueued()) {
            return;
        }
        if (now >= queue.lastUsefulAt(request, openRequests.size())) {
            closer.rejectOrFail(request, RejectionReason.QUEUE_TIMEOUT);
        } else if (zoneLimits.isAnyZoneFull()) {
            closer.rejectOrFail(request, RejectionReason.ZONE_FULL);
        } else {
            scheduleRecheck(now, request);
            sendQueued(now);
        }
    }

    private void scheduleRecheck(long now, PendingRequest request) {
        long recheckAt = queue.nextRecheckAt(now, request, openRequests.size());
        timers.scheduleRecheck(recheckAt, request);
    }

    private void logQueue(long now) {
        if (now - queueLoggedAt < QUEUE_LOG_INTERVAL_TARGETS * meanTargetMicros) {
            return;
        }
        queueLoggedAt = now;
        actions.log(
                LogLine.of(LogEvent.REQUEST_QUEUE_NOT_EMPTY)
                        .with("queued", queue.size())
                        .with("reason", "no_endpoint_with_capacity")
                        .toString());
    }
}
