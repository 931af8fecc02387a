package sagefall.proxy;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import sagefall.balancer.api.LoadBalancer;
import sagefall.logging.LogEvent;
import sagefall.logging.LogLine;

/**
 * Delivers events to the load balancer. Every call into the balancer goes through here, on the
 * event loop. What it guarantees:
 *
 * <ul>
 *   <li><b>No re-entrancy.</b> An event that an action causes at once, such as an attempt that
 *       fails while it is being sent, is queued and delivered right after the event that is being
 *       delivered, never within it.
 *   <li><b>Order.</b> Events are delivered in the order in which they are handed over, each with
 *       the time of its delivery.
 *   <li><b>What has arrived or expired goes first.</b> Before an event from outside is queued,
 *       {@link #catchUp} ends requests whose deadline has passed and reads what discovery has
 *       written. An endpoint list that has arrived counts as known, also where the loop is late and
 *       a request, an answer or a timer would be handled first.
 *   <li><b>Isolation.</b> An exception or error from the balancer costs the request that the event
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
     * Least time between two reads of discovery's connection here, beside those that the loop
     * itself does.
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

    private long discoveryReadAtMicros;

    /** An event, and the request that it concerns; null where it concerns none. */
    private record QueuedEvent(ProxiedRequest request, BalancerEvent event) {}

    /**
     * @param readDiscovery reads what discovery has written and the loop has not read yet
     * @param abortRequest gives a request whose event failed an answer, if it has none
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

    /** Sets the balancer, once and before the first event. */
    void drive(LoadBalancer newBalancer) {
        balancer = newBalancer;
    }

    /** Delivers an event that concerns no request in flight. */
    void deliver(BalancerEvent event) {
        deliver(null, event);
    }

    /**
     * Delivers an event now, or right after those that are being delivered.
     *
     * @param request the request that is aborted where the balancer fails; null for none
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
     * Catches errors as widely as it does since one request must not harm the others. Lost are the
     * rest of the event and, if the request still waits, its answer: the client gets a 500.
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
        if (request.finished) {
            return "already_answered";
        }
        return request.streamingAttempt == null ? "answered_500" : "stream_cut_short";
    }

    /**
     * Handles what has arrived or expired and that the loop has not come to: first requests whose
     * deadline has passed, then what discovery has written.
     */
    void catchUp() {
        latencyClock.earliestArrivalNanos();
        long now = clock.micros();
        deadlines.expire(now);
        if (now - discoveryReadAtMicros >= DISCOVERY_READ_INTERVAL_MICROS) {
            discoveryReadAtMicros = now;
            readDiscovery.run();
        }
    }
}
