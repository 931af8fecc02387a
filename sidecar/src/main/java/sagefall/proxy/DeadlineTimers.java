package sagefall.proxy;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.Comparator;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Holds unfinished requests in the order of their expiry times, and removes and reports the
 * requests whose expiry time has passed. All requests share one timer, because nearly all of them
 * complete before they expire. The timer may be late: the event loop runs timers only after it has
 * handled everything that the loop has read in an iteration, and an iteration may be long.
 * Therefore {@link #expire} is also called before each event. Used on the event loop only.
 */
final class DeadlineTimers {

    private final EventLoop loop;
    private final WallClock clock;
    private final Consumer<ProxiedRequest> onExpired;
    private final TreeSet<ProxiedRequest> byExpiry =
            new TreeSet<>(
                    Comparator.comparingLong((ProxiedRequest r) -> r.expiresAtMicros)
                            .thenComparing(r -> r.request.id()));

    /**
     * Timer that fires no later than the earliest expiry time; null while no timer is scheduled.
     */
    private Future<?> timer;

    /** Time at which the scheduled timer fires. */
    private long timerAtMicros;

    /**
     * @param onExpired consumer of each request whose expiry time has passed; called after the
     *     request has been removed
     */
    DeadlineTimers(EventLoop loop, WallClock clock, Consumer<ProxiedRequest> onExpired) {
        this.loop = loop;
        this.clock = clock;
        this.onExpired = onExpired;
    }

    /** Adds a request, or changes its expiry time. */
    void set(ProxiedRequest request, long expiresAtMicros) {
        byExpiry.remove(request);
        request.expiresAtMicros = expiresAtMicros;
        byExpiry.add(request);
        schedule();
    }

    /** Removes a request; has no effect if it was not added. */
    void remove(ProxiedRequest request) {
        byExpiry.remove(request);
    }

    /** Removes and reports all requests whose expiry time has passed, the earliest first. */
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
