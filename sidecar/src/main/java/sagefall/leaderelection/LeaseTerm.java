package sagefall.leaderelection;

/**
 * One term of the lease. Each term has a file: the file's name contains the number of the term, and
 * the file's body contains the other components.
 *
 * @param number number of the term; 0 if no term has been granted yet
 * @param leader name of the process that the term was granted to; empty if the term was released
 * @param bootId id of a boot of the machine; {@code expiresAtNanos} refers to the monotonic clock
 *     of that boot
 * @param expiresAtNanos time at which the term expires, on the machine's monotonic clock
 * @param grantedAtMillis Unix time of the grant, in milliseconds
 */
record LeaseTerm(
        long number, String leader, String bootId, long expiresAtNanos, long grantedAtMillis) {

    private static final String NO_LEADER = "";

    /** Returns a placeholder for the newest term, used if no term has been granted yet. */
    static LeaseTerm none(String bootId) {
        return new LeaseTerm(0, NO_LEADER, bootId, 0, 0);
    }

    /** Returns a copy of the term with another expiry time. */
    LeaseTerm withExpiresAtNanos(long newExpiresAtNanos) {
        return new LeaseTerm(number, leader, bootId, newExpiresAtNanos, grantedAtMillis);
    }

    /** Returns a released copy of the term. The copy has no leader and has expired. */
    LeaseTerm released(String currentBootId) {
        return new LeaseTerm(number, NO_LEADER, currentBootId, 0, grantedAtMillis);
    }
}
