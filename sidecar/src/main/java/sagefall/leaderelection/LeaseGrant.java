package sagefall.leaderelection;

/**
 * What the store says.
 *
 * @param term of the newest grant
 * @param owner of it; empty once it was given back
 * @param leftNanos until it ends; 0 or less: nobody holds it
 * @param waitNanos until who has just taken it may act, as the one before may have renewed
 *     meanwhile
 */
public record LeaseGrant(long term, String owner, long leftNanos, long waitNanos) {}
