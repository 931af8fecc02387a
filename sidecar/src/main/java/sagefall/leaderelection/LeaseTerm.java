package sagefall.leaderelection;

/**
 * A term of the lease, as its file stores it.
 *
 * @param number number of the term; 0 if no term has been granted yet
 * @param leader name of the process that the term was granted to; empty once it was released
 * @param bootId id of the machine's boot that {@code expiresAtNanos} refers to
 * @param expiresAtNanos time at which the term expires, on the machine's monotonic clock
 * @param grantedAtMillis time of the grant, in Unix time
 */
record LeaseTerm(
        long number, String leader, String bootId, long expiresAtNanos, long grantedAtMillis) {

    private static final String NO_LEADER = "";

    /** Returns the placeholder that stands for the newest term while there is none. */
    static LeaseTerm none(String bootId) {
        return new LeaseTerm(0, NO_LEADER, bootId, 0, 0);
    }

    /** Returns a copy of the term with another expiry time. */
    LeaseTerm withExpiresAtNanos(long newExpiresAtNanos) {
        return new LeaseTerm(number, leader, bootId, newExpiresAtNanos, grantedAtMillis);
    }

    /** Returns a released copy of the term, which has no leader and has expired. */
    LeaseTerm released(String currentBootId) {
        return new LeaseTerm(number, NO_LEADER, currentBootId, 0, grantedAtMillis);
    }
}
