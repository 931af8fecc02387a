package sagefall;

import java.util.ArrayDeque;

/** A server and all that this instance knows of it; kept by id when the tree is rebuilt. */
final class Backend {

    /** Own concurrency limit of a server at its start. */
    static final double FIRST_LIMIT = 3;

    final long id;
    LoadBalancer.Server line;

    /** Highest revision of the lists that named it; one that is behind it ends no drain. */
    long revision = Long.MIN_VALUE;

    boolean usable;
    boolean listed;

    /** Place in this instance's own stable order of servers. */
    final long order;

    int cell;
    int cells;

    /** Peak EWMA of latency in units of what is usual (NaN: no sample). */
    double slowness = Double.NaN;

    /** Plain EWMA of latency in units of what is usual. */
    double pace = 1;

    long sampledAt;
    final ArrayDeque<Pending.Attempt> out = new ArrayDeque<>();
    int failures;
    int backoff;
    int suspects;

    /** Ejected while above 0: no request before that time, then one trial. */
    long openUntil;

    double limit = FIRST_LIMIT;
    long cutAt;
    long pausedUntil;
    long restUntil;
    long reportedAt;
    long suspectedAt;
    double use = Double.NaN;

    /** When its connection was last known to work, 0 if never. */
    long usedAt;

    /** When a new connection may be tried. */
    long connectAt;

    long returnedAt;

    int connectFailures;
    boolean opened;
    boolean maybeDead;

    Backend(long id, int rank) {
        this.id = id;
        order = LabelTree.mix(id, rank);
    }

    /**
     * An attempt hangs, and nothing has come from the server since that was seen. Once something
     * has, it is the connection that fell silent, or that request, which says nothing of the next
     * one on another. Harm: a server that is slow rather than silent is sent more, within its
     * limit.
     */
    boolean silent() {
        return suspects > 0 && usedAt <= suspectedAt;
    }

    /** The attempt out for the longest time that still says something of the server. */
    Pending.Attempt oldest() {
        if (silent()) return out.peekFirst();
        for (Pending.Attempt a : out) if (!a.suspected) return a;
        return null;
    }
}
