package sagefall.balancer.health;

import sagefall.balancer.api.ListedEndpoint;
import sagefall.balancer.request.Attempt;
import sagefall.balancer.routing.RendezvousHash;

/**
 * A server process and all that this instance knows of it, in a state object for each policy. It
 * outlives a rebuild of the subsets; another incarnation of the server is another endpoint.
 * Compared by identity.
 */
public final class Endpoint {
    private final long id;
    private final long subsetOrder;
    private final LatencyState latency = new LatencyState();
    private final OutlierState outlier = new OutlierState();
    private final SilenceState silence = new SilenceState();
    private final ConcurrencyState concurrency = new ConcurrencyState();
    private final ConnectionState connection = new ConnectionState();
    private final LoadReportState loadReport = new LoadReportState();
    private ListedEndpoint entry;
    private long revision = Long.MIN_VALUE;
    private boolean usable;
    private boolean listed;
    private int cell;
    private int cellCount;

    /**
     * @param id the server's id in the endpoint list
     * @param rank number of this instance among the replicas
     */
    public Endpoint(long id, int rank) {
        this.id = id;
        subsetOrder = RendezvousHash.mix(id, rank);
    }

    /** The server's id in the endpoint list. */
    public long id() {
        return id;
    }

    /** Place in this instance's own stable order of endpoints. */
    public long subsetOrder() {
        return subsetOrder;
    }

    /** What the endpoint lists said of it last; null before the first. */
    public ListedEndpoint entry() {
        return entry;
    }

    /**
     * Highest revision of the lists that named it; a list that is behind it ends no drain. Below
     * all revisions before the first list.
     */
    public long revision() {
        return revision;
    }

    /** Whether new attempts may go to it: it is ready and listed. */
    public boolean isUsable() {
        return usable;
    }

    /** Whether the last complete list, or a change after it, names it. */
    public boolean isListed() {
        return listed;
    }

    /** Takes over what a list of that revision says of it. */
    public void update(
            ListedEndpoint newEntry, long newRevision, boolean nowUsable, boolean named) {
        revision = Math.max(revision, newRevision);
        entry = newEntry;
        usable = nowUsable;
        listed = named;
    }

    /** A complete list has come that may not name it. */
    public void markUnlisted() {
        listed = false;
    }

    /** No new attempt may go to it. */
    public void markUnusable() {
        usable = false;
    }

    /** The cell that it belongs to while there are {@link #cellCount} cells. */
    public int cell() {
        return cell;
    }

    /** The number of cells for which its cell was chosen; 0 before the first. */
    public int cellCount() {
        return cellCount;
    }

    /** Assigns it to one of so many cells. */
    public void assignCell(int newCell, int count) {
        cell = newCell;
        cellCount = count;
    }

    /** Its latency. */
    public LatencyState latency() {
        return latency;
    }

    /** Its failures and ejections. */
    public OutlierState outlier() {
        return outlier;
    }

    /** Its attempts that are unanswered for too long. */
    public SilenceState silence() {
        return silence;
    }

    /** Its attempts in flight and their limit. */
    public ConcurrencyState concurrency() {
        return concurrency;
    }

    /** This instance's connections to it. */
    public ConnectionState connection() {
        return connection;
    }

    /** What it reports of its load. */
    public LoadReportState loadReport() {
        return loadReport;
    }

    /**
     * Whether an attempt hangs, and nothing has come from the endpoint since that was seen. Once
     * something has, it is the connection that fell silent, or that request, which says nothing of
     * the next one on another. Harm: an endpoint that is slow rather than silent is sent more,
     * within its limit.
     */
    public boolean isSilent() {
        return silence.suspectedAttempts > 0 && connection.lastUsedAt() <= silence.lastSuspectedAt;
    }

    /**
     * The attempt in flight for the longest time that still says something of the endpoint; null if
     * there is none.
     */
    Attempt oldestAttempt() {
        if (isSilent()) {
            return concurrency.inFlight.peekFirst();
        }
        for (Attempt attempt : concurrency.inFlight) {
            if (!attempt.isSuspected()) {
                return attempt;
            }
        }
        return null;
    }
}
