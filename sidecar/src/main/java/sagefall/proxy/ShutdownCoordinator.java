package sagefall.proxy;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import sagefall.balancer.api.RequestClass;
import sagefall.proxy.downstream.DownstreamListener;
import sagefall.proxy.downstream.ShutdownCuts;
import sagefall.proxy.downstream.ShutdownListener;

/**
 * Coordinates a graceful shutdown: computes its schedule, limits the deadlines of all requests to
 * it, lets the listener drain, and logs the steps. Used on the event loop unless a method says
 * otherwise.
 */
final class ShutdownCoordinator {

    private final WallClock clock;
    private final List<RequestClass> classes;
    private final BalancerRequestHandler requestHandler;
    private final DownstreamListener listener;
    private final ShutdownLog shutdownLog;

    /**
     * @param classes the request classes of the settings in force
     */
    ShutdownCoordinator(
            WallClock clock,
            List<RequestClass> classes,
            InFlightRequests requests,
            BalancerRequestHandler requestHandler,
            DownstreamListener listener,
            Consumer<String> log) {
        this.clock = clock;
        this.classes = classes;
        this.requestHandler = requestHandler;
        this.listener = listener;
        shutdownLog = new ShutdownLog(log, requests);
    }

    /**
     * Returns the schedule of a shutdown whose signal was noticed at the given time of {@link
     * System#nanoTime()}. May be called on any thread.
     */
    ShutdownSchedule schedule(long noticedAtNanos) {
        return ShutdownSchedule.of(noticedAtNanos, classes);
    }

    /**
     * Begins the shutdown.
     *
     * @param onClosed task that runs once all connections are closed
     */
    void start(long noticedAtNanos, Runnable onClosed) {
        ShutdownSchedule schedule = schedule(noticedAtNanos);
        shutdownLog.started(schedule, listener.connectionCounts());
        requestHandler.limitDeadlines(microsAt(schedule.latestResponseNanos()));
        listener.shutDownGracefully(schedule, new Steps(schedule, onClosed));
    }

    /** Converts a time of {@link System#nanoTime()} to Unix time in microseconds. */
    private long microsAt(long nanos) {
        return clock.micros() + TimeUnit.NANOSECONDS.toMicros(ShutdownSchedule.nanosUntil(nanos));
    }

    /** Logs the steps of the listener's shutdown. */
    private final class Steps implements ShutdownListener {
        private final ShutdownSchedule schedule;
        private final Runnable onClosed;

        Steps(ShutdownSchedule schedule, Runnable onClosed) {
            this.schedule = schedule;
            this.onClosed = onClosed;
        }

        @Override
        public void ending() {
            shutdownLog.ending(
                    schedule,
                    microsAt(schedule.lateRequestsFromNanos()),
                    listener.connectionCounts());
        }

        @Override
        public void closed(ShutdownCuts cuts) {
            shutdownLog.ended(schedule, requestHandler.shortenedDeadlines(), cuts);
            onClosed.run();
        }
    }
}
