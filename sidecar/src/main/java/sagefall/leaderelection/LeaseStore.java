package sagefall.leaderelection;

import java.io.IOException;
import java.util.List;

/**
 * Keeps a lease: one owner at a time, each grant with a term that only grows; and what leaders
 * write, each value with the term that it was written under, of which only the one of the newest
 * term counts. An operation that throws may have been done all the same.
 */
public interface LeaseStore {

    /**
     * A grant of the lease in the past.
     *
     * @param term of the grant
     * @param owner to whom it was granted; empty once it was released
     * @param atMillis when, in Unix time
     */
    record Past(long term, String owner, long atMillis) {}

    /**
     * The state of the lease.
     *
     * @param grant the newest one
     * @param past the latest grants, the newest last
     */
    record Status(LeaseGrant grant, List<Past> past) {}

    /**
     * A value and the term that it was written under.
     *
     * @param term of the leader that wrote it
     * @param body as it was written
     */
    record Value(long term, byte[] body) {}

    /** Reads who holds the lease, and who held it. */
    Status status() throws IOException;

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
    Value read(String name) throws IOException;
}
