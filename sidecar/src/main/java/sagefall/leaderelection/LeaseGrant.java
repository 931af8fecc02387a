package sagefall.leaderelection;

/**
 * The newest grant of the lease, as the store has it.
 *
 * @param term of the grant
 * @param owner to whom it was granted; empty once it was released
 * @param leftNanos until it expires; 0 or less: nobody holds the lease
 * @param waitNanos until a new owner may act, as the one before may have renewed meanwhile
 */
public record LeaseGrant(long term, String owner, long remainingNanos, long waitNanos) {}
