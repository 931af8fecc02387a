package sagefall.balancer.health;

import java.util.ArrayDeque;
import sagefall.balancer.api.ListedEndpoint;
import sagefall.balancer.request.Attempt;
import sagefall.balancer.routing.SubsetTree;

/** A server and all that this instance knows of it; kept by id when the tree is rebuilt. */
public final class Endpoint {

    /** Own concurrency limit of a server at its start. */
    static final double FIRST_LIMIT = 3;

    public final long id;
    public ListedEndpoint line;

    /** Highest revision of the lists that named it; one that is behind it ends no drain. */
    public long revision = Long.MIN_VALUE;

    public boolean usable;
    public boolean listed;

    /** Place in this instance's own stable order of servers. */
    public final long order;

    public int cell;
    public int cells;

    /** Peak EWMA of latency in units of what is usual (NaN: no sample). */
    double slowness = Double.NaN;

    /** Plain EWMA of latency in units of what is usual. */
    public double pace = 1;

    long sampledAt;
    public final ArrayDeque<Attempt> out = new ArrayDeque<>();
    int failures;
    public int backoff;
    int suspects;

    /** Ejected while above 0: no request before that time, then one trial. */
    public long openUntil;

    public double limit = FIRST_LIMIT;
    long cutAt;
    public long pausedUntil;
    public long restUntil;
    long reportedAt;
    long suspectedAt;
    double use = Double.NaN;

    /** When its connection was last known to work, 0 if never. */
    public long usedAt;

    /** When a new connection may be tried. */
    public long connectAt;

    long returnedAt;

    int connectFailures;
    public boolean opened;
    boolean maybeDead;

    public Endpoint(long id, int rank) {
        this.id = id;
        order = SubsetTree.mix(id, rank);
    }

    /**
     * An attempt hangs, and nothing has come from the server since that was seen. Once something
     * has, it is the connection that fell silent, or that request, which says nothing of the next
     * one on another. Harm: a server that is slow rather than silent is sent more, within its
     * limit.
     */
    public boolean silent() {
        return suspects > 0 && usedAt <= suspectedAt;
    }

    /** The attempt out for the longest time that still says something of the server. */
    Attempt oldest() {
        if (silent()) return out.peekFirst();
        for (Attempt a : out) if (!a.suspected) return a;
        return null;
    }
}
