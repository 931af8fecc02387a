package sagefall.proxy;

import java.util.List;
import java.util.concurrent.TimeUnit;
import sagefall.balancer.api.RequestClass;

/**
 * The points in time of a shutdown, on the clock of {@link System#nanoTime()}. The platform sends
 * SIGKILL some time after SIGTERM. All responses have to be written, and the process has to exit,
 * before the earliest possible time of SIGKILL.
 *
 * @param noticedAtNanos time at which the process noticed the signal
 * @param latestResponseNanos latest time of a response; requests without a response at this time
 *     are rejected or failed
 * @param closeNanos time at which connections that are still open are closed
 * @param exitNanos time at which the process exits even if connections could not be closed
 */
public record ShutdownSchedule(
        long noticedAtNanos, long latestResponseNanos, long closeNanos, long exitNanos) {

    /** Deadlines of request classes that are longer count as this duration. */
    private static final long MAX_COUNTED_DEADLINE_MILLIS = 3_000;

    /** Minimum time from SIGTERM to SIGKILL, in addition to the longest deadline. */
    private static final long KILL_DELAY_MILLIS = 700;

    /**
     * Maximum time from the signal until the process notices it. The signal is noticed by a new
     * thread, which may have to wait for the processor.
     */
    private static final long SIGNAL_DELAY_MILLIS = 100;

    /** Maximum time for which the process may be suspended after it has read its clock. */
    private static final long SUSPENSION_MILLIS = 150;

    /** Time for releasing the lease, for writing the last changes to disk, and for the exit. */
    private static final long EXIT_MILLIS = 30;

    /** Time for writing the last responses and for their way to the clients. */
    private static final long LAST_RESPONSES_MILLIS = 70;

    /**
     * Returns the schedule of a shutdown.
     *
     * @param noticedAtNanos time at which the process noticed the signal
     * @param classes the request classes of the settings in force
     */
    static ShutdownSchedule of(long noticedAtNanos, List<RequestClass> classes) {
        long killMillis = longestDeadlineMillis(classes) + KILL_DELAY_MILLIS;
        long exitMillis = killMillis - SIGNAL_DELAY_MILLIS - SUSPENSION_MILLIS;
        long closeMillis = exitMillis - EXIT_MILLIS;
        long latestResponseMillis = closeMillis - LAST_RESPONSES_MILLIS;
        return new ShutdownSchedule(
                noticedAtNanos,
                noticedAtNanos + TimeUnit.MILLISECONDS.toNanos(latestResponseMillis),
                noticedAtNanos + TimeUnit.MILLISECONDS.toNanos(closeMillis),
                noticedAtNanos + TimeUnit.MILLISECONDS.toNanos(exitMillis));
    }

    /**
     * Returns the longest deadline, at most {@link #MAX_COUNTED_DEADLINE_MILLIS}. That maximum is
     * also returned if no class has a deadline.
     */
    private static long longestDeadlineMillis(List<RequestClass> classes) {
        long longestMicros =
                classes.stream().mapToLong(RequestClass::deadlineMicros).max().orElse(0);
        long longestMillis = TimeUnit.MICROSECONDS.toMillis(longestMicros);
        return longestMillis == 0
                ? MAX_COUNTED_DEADLINE_MILLIS
                : Math.min(longestMillis, MAX_COUNTED_DEADLINE_MILLIS);
    }

    /**
     * Returns the time from which a request counts as late: SIGKILL must not find it unanswered.
     */
    long lateRequestsFromNanos() {
        return noticedAtNanos + TimeUnit.MILLISECONDS.toNanos(KILL_DELAY_MILLIS);
    }

    /** Returns the time from the signal to the latest time of a response, in milliseconds. */
    long latestResponseMillis() {
        return TimeUnit.NANOSECONDS.toMillis(latestResponseNanos - noticedAtNanos);
    }

    /** Returns the nanoseconds until the given time; negative if the time has passed. */
    public static long nanosUntil(long timeNanos) {
        return timeNanos - System.nanoTime();
    }
}
