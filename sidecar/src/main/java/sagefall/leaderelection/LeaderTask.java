package sagefall.leaderelection;

import java.io.IOException;

/** Work that one process does for all, on the thread that holds the lease. */
public interface LeaderTask {

    /** What it is called in the log. */
    String name();

    /** Whether there is something to do. */
    boolean due();

    /**
     * Does it under that term, by nothing but what the store has; ends within a fraction of the
     * lease.
     *
     * @return false if the store refused it, as there is a newer term
     */
    boolean act(LeaseStore store, long term) throws IOException;
}
