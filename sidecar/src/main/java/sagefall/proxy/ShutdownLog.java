package sagefall.proxy;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import sagefall.logging.LogEvent;
import sagefall.logging.LogLine;
import sagefall.proxy.downstream.ConnectionCounts;
import sagefall.proxy.downstream.ShutdownCuts;

/**
 * Logs the steps of a shutdown with what is open at each of them. The fields distinguish why a
 * response could come too late: the signal was noticed late, a request arrived late, was queued or
 * retried, or its response was not written. Used on the event loop only.
 */
final class ShutdownLog {

    private final Consumer<String> log;
    private final InFlightRequests requests;

    ShutdownLog(Consumer<String> log, InFlightRequests requests) {
        this.log = log;
        this.requests = requests;
    }

    /** Logs that the event loop has begun the shutdown. */
    void started(ShutdownSchedule schedule, ConnectionCounts connections) {
        log.accept(
                LogLine.of(LogEvent.SHUTDOWN_STARTED)
                        .with("start_delay_ms", millisSince(schedule.noticedAtNanos()))
                        .with("responses_until_ms", schedule.latestResponseMillis())
                        .with("client_connections", connections.connections())
                        .with("unfinished_requests", connections.unfinishedRequests())
                        .with("open_requests", connections.openRequests())
                        .toString());
    }

    /** Logs how long the shutdown took, and what it cut. */
    void ended(ShutdownSchedule schedule, int shortenedDeadlines, ShutdownCuts cuts) {
        log.accept(
                LogLine.of(LogEvent.SHUTDOWN_ENDED)
                        .with("took_ms", millisSince(schedule.noticedAtNanos()))
                        .with("shortened_deadlines", shortenedDeadlines)
                        .with("ended_requests", cuts.endedRequests())
                        .with("unread_responses", cuts.unreadResponses())
                        .toString());
    }

    /** Logs what has no response when the remaining requests are ended. */
    void ending(ShutdownSchedule schedule, long lateRequestsFromMicros, ConnectionCounts open) {
        int late = 0;
        int retried = 0;
        int queued = 0;
        for (ProxiedRequest request : requests.withoutResponse()) {
            late += request.completeAtMicros > lateRequestsFromMicros ? 1 : 0;
            retried += request.attempts.size() > 1 ? 1 : 0;
            queued += request.attemptsInFlight == 0 ? 1 : 0;
        }
        log.accept(
                LogLine.of(LogEvent.SHUTDOWN_ENDING)
                        .with("timer_delay_ms", millisSince(schedule.endNanos()))
                        .with("unfinished_requests", open.unfinishedRequests())
                        .with("open_requests", open.openRequests())
                        .with("late_requests", late)
                        .with("retried_requests", retried)
                        .with("queued_requests", queued)
                        .with("unwritten_responses", open.unwrittenResponses())
                        .toString());
    }

    private static long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }
}
