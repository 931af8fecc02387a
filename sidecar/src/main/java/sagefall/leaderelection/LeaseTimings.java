package sagefall.leaderelection;

/**
 * All in nanoseconds.
 *
 * @param lease how long a grant lasts
 * @param margin by which the holder stops sooner than the store lets others in
 * @param pause how long the holder may have been held up and still act without renewing
 * @param poll between two looks at who holds it
 */
public record LeaseTimings(long lease, long margin, long pause, long poll) {

    /**
     * What follows from a lease: a sixth for a turn that is late and an action under way, as much
     * for a pause that need not be noticed, a third between renewals, so that one of two may fail.
     */
    public static LeaseTimings of(long lease) {
        return new LeaseTimings(lease, lease / 6, lease / 6, Math.min(lease / 30, 100_000_000));
    }
}
