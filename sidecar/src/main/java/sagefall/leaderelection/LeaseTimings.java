package sagefall.leaderelection;

import java.util.concurrent.TimeUnit;

/**
 * Durations that govern a lease.
 *
 * @param leaseNanos duration of the lease after each grant or renewal
 * @param marginNanos time before the expiry of the lease at which the leader stops acting
 * @param maxPauseNanos maximum pause of the leader's process after which the leader may act without
 *     renewing the lease first
 * @param pollNanos interval between two reads of the newest grant
 */
public record LeaseTimings(long leaseNanos, long marginNanos, long maxPauseNanos, long pollNanos) {

    private static final int MARGINS_PER_LEASE = 6;
    private static final int PAUSES_PER_LEASE = 6;
    private static final int POLLS_PER_LEASE = 30;
    private static final int RENEWALS_PER_LEASE = 3;
    private static final long LONGEST_POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /**
     * Returns durations that are fractions of the lease duration. The margin is a sixth of the
     * lease duration. It covers a late step of the state machine and an action in progress. The
     * maximum pause is a sixth of the lease duration as well. The poll interval is a thirtieth of
     * the lease duration, but at most 100 ms.
     */
    public static LeaseTimings of(long leaseNanos) {
        return new LeaseTimings(
                leaseNanos,
                leaseNanos / MARGINS_PER_LEASE,
                leaseNanos / PAUSES_PER_LEASE,
                Math.min(leaseNanos / POLLS_PER_LEASE, LONGEST_POLL_NANOS));
    }

    /**
     * Returns the interval between two renewals: a third of the lease duration. Two renewals are
     * then due before the lease expires, so the lease does not expire if one of them fails.
     */
    long renewalNanos() {
        return leaseNanos / RENEWALS_PER_LEASE;
    }

    /**
     * Returns the maximum random delay before a candidate acquires an expired lease. The delays
     * prevent the candidates from sending their requests at the same time.
     */
    long takeoverSpreadNanos() {
        return leaseNanos / RENEWALS_PER_LEASE;
    }

    /**
     * Returns the maximum time that the election thread sleeps. The time is short, so that the
     * thread can detect pauses of its own process.
     */
    long longestSleepNanos() {
        return leaseNanos / POLLS_PER_LEASE;
    }
}
