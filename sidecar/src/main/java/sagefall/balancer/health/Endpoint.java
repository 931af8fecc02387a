package sagefall.balancer.health;

import sagefall.balancer.api.ListedEndpoint;
import sagefall.balancer.request.Attempt;
import sagefall.balancer.routing.RendezvousHash;

/**
 * A server process as this instance sees it, with one state object for each policy. The object is
 * kept when the subset tree is rebuilt. A new incarnation of the server gets a new object.
 * Endpoints are compared by identity.
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
     * Creates an endpoint that is not in any list yet.
     *
     * @param id id of the endpoint in the endpoint list
     * @param rank number of this instance among the replicas
     */
    public Endpoint(long id, int rank) {
        this.id = id;
        subsetOrder = RendezvousHash.mix(id, rank);
    }

    /** Returns the id of the endpoint in the endpoint list. */
    public long id() {
        return id;
    }

    /**
     * Returns the sort key of the endpoint. This instance orders endpoints by this key. The order
     * is stable and differs between instances.
     */
    public long subsetOrder() {
        return subsetOrder;
    }

    /** Returns the latest entry of the endpoint in an endpoint list; null before the first. */
    public ListedEndpoint entry() {
        return entry;
    }

    /**
     * Returns the highest revision of the endpoint lists that named the endpoint, or {@link
     * Long#MIN_VALUE} before the first list. A list with a lower revision does not end the draining
     * of the endpoint.
     */
    public long revision() {
        return revision;
    }

    /** Returns whether new attempts may be sent to the endpoint: it is ready and listed. */
    public boolean isUsable() {
        return usable;
    }

    /** Returns whether the last complete list, or a change after it, names the endpoint. */
    public boolean isListed() {
        return listed;
    }

    /**
     * Updates the endpoint from an endpoint list.
     *
     * @param newEntry entry of the endpoint in the list
     * @param newRevision revision of the list
     * @param nowUsable whether new attempts may be sent to the endpoint
     * @param named whether the list names the endpoint
     */
    public void update(
            ListedEndpoint newEntry, long newRevision, boolean nowUsable, boolean named) {
        revision = Math.max(revision, newRevision);
        entry = newEntry;
        usable = nowUsable;
        listed = named;
    }

    /** Marks the endpoint as listed, without any change of its entry. */
    public void markListed() {
        listed = true;
    }

    /** Marks the endpoint as not listed, until a list names it again. */
    public void markUnlisted() {
        listed = false;
    }

    /** Excludes the endpoint from new attempts. */
    public void markUnusable() {
        usable = false;
    }

    /**
     * Returns the cell to which the endpoint is assigned, one of {@link #cellCount} cells.
     * Meaningful only if the cell count is not 0.
     */
    public int cell() {
        return cell;
    }

    /**
     * Returns the number of cells among which the endpoint was assigned to one; 0 before the first
     * assignment.
     */
    public int cellCount() {
        return cellCount;
    }

    /** Assigns the endpoint to one of {@code count} cells. */
    public void assignCell(int newCell, int count) {
        cell = newCell;
        cellCount = count;
    }

    /** Returns the latency state. */
    public LatencyState latency() {
        return latency;
    }

    /** Returns the state of failures and ejections. */
    public OutlierState outlier() {
        return outlier;
    }

    /** Returns the state of attempts that have been without a response for too long. */
    public SilenceState silence() {
        return silence;
    }

    /** Returns the attempts in flight and their limit. */
    public ConcurrencyState concurrency() {
        return concurrency;
    }

    /** Returns the state of the connections from this instance to the endpoint. */
    public ConnectionState connection() {
        return connection;
    }

    /** Returns the state of the load reports of the endpoint. */
    public LoadReportState loadReport() {
        return loadReport;
    }

    /**
     * Returns whether an attempt hangs and the endpoint has sent nothing since the hanging was
     * detected. If the endpoint has sent something since, only the connection or the request hangs.
     * Such a hang says nothing about the next request on another connection. Drawback: an endpoint
     * that is slow rather than silent is still sent attempts, up to its concurrency limit.
     */
    public boolean isSilent() {
        return silence.suspectedAttempts > 0 && connection.lastUsedAt() <= silence.lastSuspectedAt;
    }

    /**
     * Returns the oldest attempt in flight whose age is evidence about the latency of the endpoint;
     * null if there is none. Unless the endpoint is silent, attempts that hang are ignored, because
     * they are no evidence about its latency.
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
