package sagefall.proxy;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.Comparator;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Requests in hand by the time at which their clients must have an answer. The loop takes timers
 * behind all that a turn has read, so where a turn is long the nearest deadline is looked at before
 * each event too. One timer for all, since nearly all requests are answered before theirs would
 * act.
 */
final class DeadlineTimers {

    private final EventLoop loop;
    private final WallClock clock;
    private final Consumer<ProxiedRequest> overdue;
    private final TreeSet<ProxiedRequest> calls =
            new TreeSet<>(
                    Comparator.comparingLong((ProxiedRequest c) -> c.dueMicros)
                            .thenComparing(c -> c.request.id()));
    private Future<?> timer;
    private long timerAt;

    /** Calls come back through {@code overdue}, each once and no longer held. */
    DeadlineTimers(EventLoop loop, WallClock clock, Consumer<ProxiedRequest> overdue) {
        this.loop = loop;
        this.clock = clock;
        this.overdue = overdue;
    }

    /** Moves it, if it is held already. */
    void set(ProxiedRequest call, long dueMicros) {
        calls.remove(call);
        call.dueMicros = dueMicros;
        calls.add(call);
        schedule();
    }

    void remove(ProxiedRequest call) {
        calls.remove(call);
    }

    /** Ends what is overdue. */
    void check(long now) {
        while (!calls.isEmpty() && calls.first().dueMicros <= now) {
            overdue.accept(calls.pollFirst());
        }
    }

    private void schedule() {
        long first = calls.first().dueMicros;
        if (timer == null || first < timerAt) {
            if (timer != null) {
                timer.cancel(false);
            }
            timerAt = first;
            timer =
                    loop.schedule(
                            this::wake, Math.max(0, first - clock.micros()), TimeUnit.MICROSECONDS);
        }
    }

    private void wake() {
        timer = null;
        check(clock.micros());
        if (!calls.isEmpty()) {
            schedule();
        }
    }
}
