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
 *   <li><b>No re-entrancy.</b> An action of the balancer may cause an event at once, for example if
 *       sending an attempt fails. That event is queued. It is delivered after the balancer has
 *       returned from the current event.
 *   <li><b>Order.</b> Events are delivered in the order in which they are passed to {@code
 *       deliver}. Each event carries the time of its delivery.
 *   <li><b>Expired deadlines and received endpoint lists first.</b> Before an event that the
 *       balancer did not cause is queued, {@link #catchUp} ends requests whose deadline has passed
 *       and reads what discovery has sent. Without this step, a late event loop could handle a
 *       request, a response or a timer before an endpoint list that has already arrived.
 *   <li><b>Isolation.</b> An exception or error from the balancer aborts only the request that the
 *       event concerns.
 * </ul>
 */
final class BalancerDriver {

    /** A call into the balancer. */
    interface BalancerEvent {
        /** Calls the balancer with the time of the delivery, in microseconds. */
        void deliver(LoadBalancer balancer, long nowMicros);
    }

    /**
     * Minimum time between two calls of {@link #catchUp} that read discovery's connection. The
     * event loop also reads that connection itself when input arrives.
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

    /** An event and its request. The request is null if the event concerns no request. */
    private record QueuedEvent(ProxiedRequest request, BalancerEvent event) {}

    /**
     * @param readDiscovery task that reads the input from discovery that the event loop has not
     *     read yet
     * @param abortRequest consumer that aborts a request if the balancer fails while it handles an
     *     event of that request
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
     * must not affect the other requests. After a failure, the balancer does not handle the rest of
     * that event. If the request has no response yet, its client receives a 500.
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
     * Handles deadlines and discovery input that the event loop has not reached yet. First ends the
     * requests whose deadline has passed. Then reads what discovery has sent, unless the last such
     * read was less than {@link #DISCOVERY_READ_INTERVAL_MICROS} ago.
     */
    void catchUp() {
        // The first call in an event loop iteration records the time at which the iteration began
        // to read. The call is made here, because it would be late if events were handled first.
        latencyClock.earliestArrivalNanos();
        long now = clock.micros();
        deadlines.expire(now);
        if (now - discoveryReadAtMicros >= DISCOVERY_READ_INTERVAL_MICROS) {
            discoveryReadAtMicros = now;
            readDiscovery.run();
        }
    }
}
