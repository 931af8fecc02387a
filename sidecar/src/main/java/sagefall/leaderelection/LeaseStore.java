package sagefall.leaderelection;

import java.io.IOException;
import java.util.List;

/**
 * Where a lease lies: one holder at a time, each grant with a term that only grows; and what duties
 * change, each value with the term that it was written under, of which only the newest one counts.
 * What fails may have been done all the same.
 */
public interface LeaseStore {

    /** A grant that was made: its term, to whom and when, in Unix time. */
    record Past(long term, String owner, long atMillis) {}

    /** Who holds it, and the latest grants, the newest last. */
    record Status(LeaseGrant grant, List<Past> past) {}

    /** A value and the term that it was written under. */
    record Value(long term, byte[] body) {}

    Status status() throws IOException;

    /** Takes it if nobody holds it; says who does. */
    LeaseGrant acquire(String owner, long leaseNanos) throws IOException;

    /** Makes it last from now on, if that term is still the newest one; says who holds it. */
    LeaseGrant renew(String owner, long term, long leaseNanos) throws IOException;

    /** Gives it back, so that another may have it at once. */
    void release(String owner, long term) throws IOException;

    /** Writes a value under that term; false if there is a newer one, and then nothing counts. */
    boolean publish(long term, String name, byte[] body) throws IOException;

    /** The value that counts; null where there is none. */
    Value read(String name) throws IOException;
}
