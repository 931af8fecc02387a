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
 * @param latestResponseNanos latest deadline of a request
 * @param endNanos time at which everything that has no response yet is ended
 * @param closeNanos time at which connections that are still open are closed
 * @param exitNanos time at which the process exits even if connections could not be closed
 */
public record ShutdownSchedule(
        long noticedAtNanos,
        long latestResponseNanos,
        long endNanos,
        long closeNanos,
        long exitNanos) {

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

    /** Minimum time for clients to read their last response before its connection is closed. */
    private static final long LINGER_MILLIS = 60;

    /** Time in which requests end at their deadline before everything else is ended. */
    private static final long DEADLINE_GRACE_MILLIS = 10;

    /**
     * Returns the schedule of a shutdown.
     *
     * @param noticedAtNanos time at which the process noticed the signal
     * @param classes the request classes of the settings in force
     */
    static ShutdownSchedule of(long noticedAtNanos, List<RequestClass> classes) {
        long exitMillis =
                longestDeadlineMillis(classes)
                        + KILL_DELAY_MILLIS
                        - SIGNAL_DELAY_MILLIS
                        - EXIT_MILLIS;
        long closeMillis = exitMillis - SUSPENSION_MILLIS;
        long endMillis = closeMillis - LINGER_MILLIS;
        return new ShutdownSchedule(
                noticedAtNanos,
                plusMillis(noticedAtNanos, endMillis - DEADLINE_GRACE_MILLIS),
                plusMillis(noticedAtNanos, endMillis),
                plusMillis(noticedAtNanos, closeMillis),
                plusMillis(noticedAtNanos, exitMillis));
    }

    private static long plusMillis(long nanos, long millis) {
        return nanos + TimeUnit.MILLISECONDS.toNanos(millis);
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
        return plusMillis(noticedAtNanos, KILL_DELAY_MILLIS);
    }

    /** Returns the time from the signal to the latest time of a response, in milliseconds. */
    long latestResponseMillis() {
        return TimeUnit.NANOSECONDS.toMillis(latestResponseNanos - noticedAtNanos);
    }

    /**
     * Returns the time at which connections are closed, if their requests were ended at the given
     * time. Clients that got their response late have the same minimum time to read it.
     */
    public long closeNanosAfterEnd(long endedAtNanos) {
        return Math.max(closeNanos, plusMillis(endedAtNanos, LINGER_MILLIS));
    }

    /** Returns the nanoseconds until the given time; negative if the time has passed. */
    public static long nanosUntil(long timeNanos) {
        return timeNanos - System.nanoTime();
    }
}
