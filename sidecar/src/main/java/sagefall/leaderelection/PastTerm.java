package sagefall.leaderelection;

/**
 * A grant of the lease in the past.
 *
 * @param term of the grant
 * @param owner to whom it was granted; empty once it was released
 * @param atMillis when, in Unix time
 */
public record PastTerm(long term, String owner, long atMillis) {}
