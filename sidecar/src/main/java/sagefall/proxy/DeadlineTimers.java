package sagefall.proxy;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.Comparator;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Requests in flight by the time at which their clients must have an answer. The loop runs timers
 * behind all that it has read in one iteration, so where an iteration is long the nearest deadline
 * is checked before each event too. One timer for all, since nearly all requests are answered
 * before theirs would fire. Used on the event loop only.
 */
final class DeadlineTimers {

    private final EventLoop loop;
    private final WallClock clock;
    private final Consumer<ProxiedRequest> onExpired;
    private final TreeSet<ProxiedRequest> byExpiry =
            new TreeSet<>(
                    Comparator.comparingLong((ProxiedRequest r) -> r.expiresAtMicros)
                            .thenComparing(r -> r.request.id()));

    /** Null while none is scheduled. */
    private Future<?> timer;

    private long timerAtMicros;

    /**
     * @param onExpired gets each request whose deadline has passed, once and already removed
     */
    DeadlineTimers(EventLoop loop, WallClock clock, Consumer<ProxiedRequest> onExpired) {
        this.loop = loop;
        this.clock = clock;
        this.onExpired = onExpired;
    }

    /** Adds a request, or moves its deadline. */
    void set(ProxiedRequest request, long expiresAtMicros) {
        byExpiry.remove(request);
        request.expiresAtMicros = expiresAtMicros;
        byExpiry.add(request);
        schedule();
    }

    /** Removes a request, if it is there. */
    void remove(ProxiedRequest request) {
        byExpiry.remove(request);
    }

    /** Hands over all requests whose deadline has passed, the earliest first. */
    void expire(long nowMicros) {
        while (!byExpiry.isEmpty() && byExpiry.first().expiresAtMicros <= nowMicros) {
            onExpired.accept(byExpiry.pollFirst());
        }
    }

    private void schedule() {
        long first = byExpiry.first().expiresAtMicros;
        if (timer == null || first < timerAtMicros) {
            if (timer != null) {
                timer.cancel(false);
            }
            timerAtMicros = first;
            timer =
                    loop.schedule(
                            this::onTimer,
                            Math.max(0, first - clock.micros()),
                            TimeUnit.MICROSECONDS);
        }
    }

    private void onTimer() {
        timer = null;
        expire(clock.micros());
        if (!byExpiry.isEmpty()) {
            schedule();
        }
    }
}
