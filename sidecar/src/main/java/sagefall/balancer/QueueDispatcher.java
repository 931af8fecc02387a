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
 * Sends requests to the endpoints that are picked for them, in the order of the queue. A request
 * stays queued while no endpoint has capacity, until waiting is of no use any more.
 */
final class QueueDispatcher {

    /** Latency targets from one log line on the queue to the next. */
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
    private final double targetMicros;
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
        targetMicros = settings.meanTargetLatencyMicros();
    }

    /** Sends a request, or queues it, or gives it up where waiting would make others late. */
    void sendOrQueue(long now, PendingRequest request) {
        if (request.isClosed() || request.isQueued()) {
            return;
        }
        queue.add(request);
        sendQueued(now);
        if (!request.isQueued()) {
            return;
        }
        if (zoneLimits.anyFull()) {
            // The others have no endpoint to offer: whoever waits would be late, and make others
            // late.
            closer.giveUp(request, RejectionReason.ZONE_FULL);
            return;
        }
        scheduleCheck(now, request);
        logQueue(now);
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

    /** Checks a request that was queued when its timer was asked for. */
    void check(long now, PendingRequest request) {
        if (request.isResponseStarted() || !request.isQueued()) {
            return;
        }
        if (now >= queue.lastUsefulAt(request, openRequests.size())) {
            closer.giveUp(request, RejectionReason.QUEUE_TIMEOUT);
        } else if (zoneLimits.anyFull()) {
            closer.giveUp(request, RejectionReason.ZONE_FULL);
        } else {
            scheduleCheck(now, request);
            sendQueued(now);
        }
    }

    private void scheduleCheck(long now, PendingRequest request) {
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
}
