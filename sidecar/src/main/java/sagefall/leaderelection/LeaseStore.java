package sagefall.leaderelection;

import java.io.IOException;

/**
 * Stores a lease and the values that its leaders publish.
 *
 * <p>The lease is granted to at most one process at a time, and the term increases with each grant.
 * Each value is stored with the term of its writer. Readers see the value of the newest term. An
 * operation that throws an exception may nevertheless have taken effect.
 */
public interface LeaseStore {

    /** Reads the newest grant and the history of grants. */
    LeaseStatus status() throws IOException;

    /**
     * Acquires the lease for a process if the lease is free.
     *
     * @param candidate name of the process
     * @param leaseNanos duration of the lease
     * @return the newest grant, which may be another process's
     */
    LeaseGrant acquire(String candidate, long leaseNanos) throws IOException;

    /**
     * Renews the lease if the term is the newest one and was granted to this leader. The renewed
     * lease expires after its full duration from now.
     *
     * @param leaseNanos full duration of the lease
     * @return the newest grant, which may be another process's
     */
    LeaseGrant renew(String leader, long term, long leaseNanos) throws IOException;

    /**
     * Releases the lease if the term is the newest one and was granted to this leader. Another
     * process can then acquire the lease at once.
     */
    void release(String leader, long term) throws IOException;

    /**
     * Writes a value with the term as its fencing token.
     *
     * @return false if there is a newer term; the value then has no effect
     */
    boolean publish(long term, String name, byte[] body) throws IOException;

    /**
     * Returns the value that was published in the newest term; null if no value was published. A
     * term without a published value is ignored.
     */
    FencedValue read(String name) throws IOException;
}
