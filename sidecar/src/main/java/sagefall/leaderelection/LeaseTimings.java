package sagefall.leaderelection;

import java.util.concurrent.TimeUnit;

/**
 * The durations of a lease.
 *
 * @param leaseNanos how long a grant lasts that is not renewed
 * @param marginNanos by which the leader stops sooner than the store lets others in
 * @param pauseNanos how long the leader may have been paused and still act without renewing
 * @param pollNanos between two reads of who holds the lease
 */
public record LeaseTimings(long leaseNanos, long marginNanos, long pauseNanos, long pollNanos) {

    private static final int MARGINS_PER_LEASE = 6;
    private static final int PAUSES_PER_LEASE = 6;
    private static final int POLLS_PER_LEASE = 30;
    private static final int RENEWALS_PER_LEASE = 3;
    private static final long LONGEST_POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /**
     * What follows from a lease: a sixth as margin, for a late step and an action under way; as
     * much for a pause that needs no renewal; polls of a thirtieth, 100 ms at the most.
     */
    public static LeaseTimings of(long leaseNanos) {
        return new LeaseTimings(
                leaseNanos,
                leaseNanos / MARGINS_PER_LEASE,
                leaseNanos / PAUSES_PER_LEASE,
                Math.min(leaseNanos / POLLS_PER_LEASE, LONGEST_POLL_NANOS));
    }

    /** Between two renewals: a third of a lease, so that one of two may fail. */
    long renewalNanos() {
        return leaseNanos / RENEWALS_PER_LEASE;
    }

    /** Longest delay of a candidate after a leader was lost, so that not all ask at once. */
    long takeoverSpreadNanos() {
        return leaseNanos / RENEWALS_PER_LEASE;
    }

    /** Longest time that the leader's thread sleeps, so that it notices pauses of its own. */
    long longestSleepNanos() {
        return leaseNanos / POLLS_PER_LEASE;
    }
}
