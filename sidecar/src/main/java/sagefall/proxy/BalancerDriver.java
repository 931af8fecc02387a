package sagefall.proxy;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import sagefall.balancer.api.LoadBalancer;
import sagefall.logging.LogEvent;
import sagefall.logging.LogLine;

/**
 * Delivers events to the load balancer. Every event reaches the balancer through this class, on the
 * event loop. The driver guarantees:
 *
 * <ul>
 *   <li><b>No re-entrancy.</b> If an action of the balancer causes an event at once, such as the
 *       failure of an attempt while it is being sent, that event is queued and delivered when the
 *       balancer has returned from the current one.
 *   <li><b>Order.</b> Events are delivered in the order in which they are handed over, each with
 *       the time of its delivery.
 *   <li><b>Expired deadlines and received endpoint lists first.</b> Before an event that the
 *       balancer did not cause is queued, {@link #catchUp} ends requests whose deadline has passed
 *       and reads what discovery has sent. So the balancer knows an endpoint list that has arrived
 *       even if a late loop would handle a request, a response or a timer before it.
 *   <li><b>Isolation.</b> An exception or error from the balancer aborts the request that the event
 *       concerns, and no other.
 * </ul>
 */
final class BalancerDriver {

    /** A call into the balancer. */
    interface BalancerEvent {
        /** Calls the balancer with the time of the delivery, in microseconds. */
        void deliver(LoadBalancer balancer, long nowMicros);
    }

    /**
     * Shortest time between two reads of discovery's connection by {@link #catchUp}. The event loop
     * also reads that connection itself when input arrives.
     */
    private static final long DISCOVERY_READ_INTERVAL_MICROS = 20_000;

    private final WallClock clock;
    private final LoopLatencyClock latencyClock;
    private final DeadlineTimers deadlines;
    private final Runnable readDiscovery;
    private final Consumer<ProxiedRequest> abortRequest;
    private final Consumer<String> log;
    private final ArrayDeque<QueuedEvent> queue = new ArrayDeque<>();
    private LoadBalancer balancer;

    /** Whether an event is being delivered. */
    private boolean delivering;

    /** Time at which {@link #catchUp} last read discovery's connection. */
    private long discoveryReadAtMicros;

    /** An event and the request that it concerns, or null if it concerns none. */
    private record QueuedEvent(ProxiedRequest request, BalancerEvent event) {}

    /**
     * @param readDiscovery reads what discovery has sent and the loop has not read yet
     * @param abortRequest sends the response of a request whose event failed, if none was sent
     */
    BalancerDriver(
            WallClock clock,
            LoopLatencyClock latencyClock,
            DeadlineTimers deadlines,
            Runnable readDiscovery,
            Consumer<ProxiedRequest> abortRequest,
            Consumer<String> log) {
        this.clock = clock;
        this.latencyClock = latencyClock;
        this.deadlines = deadlines;
        this.readDiscovery = readDiscovery;
        this.abortRequest = abortRequest;
        this.log = log;
    }

    /** Sets the balancer; to be called once, before the first event. */
    void setBalancer(LoadBalancer newBalancer) {
        balancer = newBalancer;
    }

    /** Delivers an event that concerns no request in flight. */
    void deliver(BalancerEvent event) {
        deliver(null, event);
    }

    /**
     * Delivers an event at once or, if another event is being delivered, after that event and all
     * events in the queue.
     *
     * @param request the request that is aborted if the balancer fails; null for none
     */
    void deliver(ProxiedRequest request, BalancerEvent event) {
        if (!delivering) {
            catchUp();
        }
        queue.addLast(new QueuedEvent(request, event));
        if (!delivering) {
            deliverQueue();
        }
    }

    private void deliverQueue() {
        delivering = true;
        try {
            QueuedEvent next = queue.pollFirst();
            while (next != null) {
                deliverOne(next);
                next = queue.pollFirst();
            }
        } finally {
            delivering = false;
        }
    }

    /**
     * Delivers one event. Every exception and error is caught, because a failure for one request
     * must not affect the others. The balancer does not complete its handling of that event; if the
     * request has no response yet, its client receives a 500.
     */
    private void deliverOne(QueuedEvent next) {
        try {
            next.event.deliver(balancer, clock.micros());
        } catch (RuntimeException | Error failure) {
            logFailure(next.request, failure);
            if (next.request != null) {
                abortRequest.accept(next.request);
            }
        }
    }

    private void logFailure(ProxiedRequest request, Throwable failure) {
        log.accept(
                LogLine.of(LogEvent.REQUEST_ABORTED)
                        .with("request", request == null ? "-" : request.request.id())
                        .with("cause", failure)
                        .with("action", actionAfterFailure(request))
                        .toString());
    }

    private static String actionAfterFailure(ProxiedRequest request) {
        if (request == null) {
            return "event_skipped";
        }
        if (request.completed) {
            return "already_answered";
        }
        return request.streamingAttempt == null ? "answered_500" : "stream_cut_short";
    }

    /**
     * Handles pending input and timers that the loop has not reached yet: first requests whose
     * deadline has passed, then what discovery has sent.
     */
    void catchUp() {
        // Records when this iteration began to read, before the handling of events delays it.
        latencyClock.earliestArrivalNanos();
        long now = clock.micros();
        deadlines.expire(now);
        if (now - discoveryReadAtMicros >= DISCOVERY_READ_INTERVAL_MICROS) {
            discoveryReadAtMicros = now;
            readDiscovery.run();
        }
    }
}
