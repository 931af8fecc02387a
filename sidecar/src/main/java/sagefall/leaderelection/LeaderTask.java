package sagefall.leaderelection;

import java.io.IOException;

/**
 * Work that the leader does on behalf of all processes that share a lease store. The thread of
 * {@link LeaderElector} calls all methods.
 */
public interface LeaderTask {

    /** Returns the name of the task in log lines. */
    String name();

    /** Returns whether there is work to do. */
    boolean isDue();

    /**
     * Does the work. Must change nothing outside the store and must return within a fraction of the
     * lease duration.
     *
     * @param term the leader's term, used as the fencing token of each write
     * @return false if the store rejected a write because there is a newer term
     * @throws IOException if the store fails; the work is then retried
     */
    boolean run(LeaseStore store, long term) throws IOException;
}
