package sagefall.leaderelection;

import java.io.IOException;

/**
 * Keeps a lease: one owner at a time, each grant with a term that only grows; and what leaders
 * write, each value with the term that it was written under, of which only the one of the newest
 * term counts. An operation that throws may have been done all the same.
 */
public interface LeaseStore {

    /** Reads who holds the lease, and who held it. */
    LeaseStatus status() throws IOException;

    /** Acquires the lease if nobody holds it; returns the newest grant, whose ever it is. */
    LeaseGrant acquire(String owner, long leaseNanos) throws IOException;

    /**
     * Makes the lease last from now on, if that term is still the newest one and this owner's;
     * returns the newest grant, whose ever it is.
     */
    LeaseGrant renew(String owner, long term, long leaseNanos) throws IOException;

    /** Releases the lease, if it is this owner's, so that another may acquire it at once. */
    void release(String owner, long term) throws IOException;

    /**
     * Writes a value with that term as fencing token.
     *
     * @return false if there is a newer term; then the value does not count
     */
    boolean publish(long term, String name, byte[] body) throws IOException;

    /** The value of the newest term that wrote one; null where there is none. */
    FencedValue read(String name) throws IOException;
}
