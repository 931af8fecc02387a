package sagefall.leaderelection;

/**
 * A term of the lease, as its file has it.
 *
 * @param number of the term; 0 if there was none yet
 * @param owner to whom it was granted; empty once it was released
 * @param bootId of the machine's start that {@code untilNanos} belongs to
 * @param untilNanos when it expires, by the machine's monotonic clock
 * @param atMillis when it was granted, in Unix time
 */
record LeaseTerm(long number, String owner, String bootId, long untilNanos, long atMillis) {

    private static final String NOBODY = "";

    /** What stands for a term before the first one. */
    static LeaseTerm none(String bootId) {
        return new LeaseTerm(0, NOBODY, bootId, 0, 0);
    }

    /** The same term, to expire at that time. */
    LeaseTerm withUntilNanos(long newUntilNanos) {
        return new LeaseTerm(number, owner, bootId, newUntilNanos, atMillis);
    }

    /** The same term, released. */
    LeaseTerm released(String currentBootId) {
        return new LeaseTerm(number, NOBODY, currentBootId, 0, atMillis);
    }
}
