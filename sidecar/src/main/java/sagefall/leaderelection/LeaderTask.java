package sagefall.leaderelection;

import java.io.IOException;

/** Work that the leader does for all processes; called on the thread of {@link LeaderElector}. */
public interface LeaderTask {

    /** What it is called in the log. */
    String name();

    /** Whether there is work to do. */
    boolean isDue();

    /**
     * Does the work, changing nothing but what is in the store. Ends within a fraction of the
     * lease.
     *
     * @param term the fencing token to write with
     * @return false if the store rejected a write, as there is a newer term
     * @throws IOException if the store does not answer; the work is retried
     */
    boolean run(LeaseStore store, long term) throws IOException;
}
