package sagefall.leaderelection;

/**
 * The newest grant of the lease, as returned by the lease store.
 *
 * @param term term of the grant
 * @param leader name of the process that the lease was granted to; empty once the lease was
 *     released
 * @param remainingNanos time until the grant expires; 0 or negative if the lease is free
 * @param waitNanos time that a new leader must wait before it acts; positive only if the previous
 *     leader renewed its term while the new leader was acquiring the lease
 */
public record LeaseGrant(long term, String leader, long remainingNanos, long waitNanos) {}
