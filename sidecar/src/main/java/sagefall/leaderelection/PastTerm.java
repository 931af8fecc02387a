package sagefall.leaderelection;

/**
 * An entry in the history of the lease's grants.
 *
 * @param term term of the grant
 * @param leader name of the process that the lease was granted to; empty once the lease was
 *     released
 * @param grantedAtMillis Unix time of the grant, in milliseconds
 */
public record PastTerm(long term, String leader, long grantedAtMillis) {}
