package sagefall.proxy.upstream;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Iterator;
import sagefall.balancer.api.EndpointPhase;
import sagefall.balancer.api.ListedEndpoint;
import sagefall.discovery.EndpointList;

/**
 * An endpoint in the connection pool: one process at one address. After a restart or a change of
 * address, a new object represents the endpoint.
 */
final class PooledEndpoint {

    /** The state of the endpoint according to the latest endpoint list. */
    enum State {
        /** Listed as ready: attempts may be sent. */
        IN_SERVICE,

        /** Listed, but not as ready: attempts in flight continue, and no new attempt is sent. */
        DRAINING,

        /**
         * No longer listed, or listed as removed. Dropped from the pool after the last connection
         * to the endpoint has closed.
         */
        REMOVED
    }

    private final ConnectionPool pool;
    private final InetSocketAddress address;
    private ListedEndpoint listed;
    private State state = State.IN_SERVICE;

    /** Highest revision of the endpoint lists that named this process. */
    private long revision = Long.MIN_VALUE;

    /** Number of connections that are not closed. */
    private int connectionCount;

    private final ReuseDelay reuseDelay = new ReuseDelay();

    /** Idle connections; the most recently used is the last. */
    private final ArrayDeque<UpstreamConnection> idle = new ArrayDeque<>();

    PooledEndpoint(ConnectionPool pool, InetSocketAddress address, ListedEndpoint listed) {
        this.pool = pool;
        this.address = address;
        this.listed = listed;
    }

    ConnectionPool pool() {
        return pool;
    }

    InetSocketAddress address() {
        return address;
    }

    long id() {
        return listed.id();
    }

    /**
     * Returns whether the given entry of an endpoint list describes the same process at the same
     * address.
     */
    boolean matches(EndpointList.Entry entry) {
        return entry.address().equals(address)
                && entry.endpoint().startMicros() == listed.startMicros();
    }

    /** Returns whether an entry of a list describes an earlier process than this endpoint. */
    boolean isLaterProcess(EndpointList.Entry entry, long listRevision) {
        return entry.endpoint().isOfEarlierProcess(listRevision, listed, revision);
    }

    /** Applies the latest entry of this endpoint in an endpoint list. */
    void update(ListedEndpoint latest, long listRevision) {
        listed = latest;
        revision = Math.max(revision, listRevision);
        if (latest.phase() == EndpointPhase.READY) {
            state = State.IN_SERVICE;
        } else if (latest.phase() == EndpointPhase.REMOVED) {
            remove();
        } else {
            drain();
        }
    }

    private void drain() {
        leaveService(State.DRAINING);
    }

    /** Takes the endpoint out of service, because it is removed or replaced by another endpoint. */
    void remove() {
        leaveService(State.REMOVED);
    }

    /** Changes the state; closes the idle connections if the endpoint was in service. */
    private void leaveService(State next) {
        boolean wasInService = isInService();
        state = next;
        if (wasInService) {
            closeIdleConnections();
        }
    }

    /** Returns whether a new attempt may be sent to the endpoint. */
    boolean isInService() {
        return state == State.IN_SERVICE;
    }

    /** Returns whether the endpoint is removed and has no connection left. */
    boolean isUnused() {
        return state == State.REMOVED && connectionCount == 0;
    }

    void connectionOpened() {
        connectionCount++;
    }

    void connectionClosed(UpstreamConnection connection) {
        connectionCount--;
        idle.remove(connection);
    }

    void addIdle(UpstreamConnection connection) {
        idle.addLast(connection);
    }

    /** Returns the connection that has been idle longest; null if no connection is idle. */
    UpstreamConnection oldestIdle() {
        return idle.peekFirst();
    }

    /**
     * Removes and returns a reusable idle connection. A connection is reusable if it has been idle
     * for at least the reuse delay and is still open. Takes the most recently used one, so that the
     * others can expire. If the endpoint has ever sent surplus input, takes the one that has been
     * idle longest. Also removes the closed connections that the search finds.
     *
     * @return the connection, or null if there is none
     */
    UpstreamConnection takeReusable(long nowMicros) {
        Iterator<UpstreamConnection> candidates =
                reuseDelay.hasSurplusArrived() ? idle.iterator() : idle.descendingIterator();
        while (candidates.hasNext()) {
            UpstreamConnection connection = candidates.next();
            if (connection.idleMicros(nowMicros) >= reuseDelay.micros()) {
                candidates.remove();
                if (connection.isReusable()) {
                    return connection;
                }
            }
        }
        return null;
    }

    /** Records the time from the write of a request to the arrival of its response. */
    void exchanged(long durationMicros) {
        reuseDelay.exchanged(durationMicros);
    }

    /**
     * Records that surplus input has arrived on a connection to this endpoint.
     *
     * @param idleMicros time since the last response on that connection, in microseconds
     */
    void surplusArrived(long idleMicros) {
        if (!reuseDelay.hasSurplusArrived()) {
            pool.logSurplus(this, idleMicros);
        }
        reuseDelay.surplusArrived(idleMicros);
    }

    void closeOldestIdle() {
        idle.pollFirst().close();
    }

    /** Closes the connections that have been idle for at least the idle timeout. */
    void closeExpiredIdle(long nowMicros, long idleTimeoutMicros) {
        while (!idle.isEmpty() && idle.peekFirst().idleMicros(nowMicros) >= idleTimeoutMicros) {
            closeOldestIdle();
        }
    }

    void closeIdleConnections() {
        while (!idle.isEmpty()) {
            closeOldestIdle();
        }
    }
}
