package sagefall.proxy.upstream;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import sagefall.balancer.api.EndpointPhase;
import sagefall.balancer.api.ListedEndpoint;
import sagefall.discovery.EndpointList;

/**
 * An endpoint in the connection pool: one process at one address. After a restart or a move the
 * same server is another endpoint.
 */
final class PooledEndpoint {

    /** Whether new attempts may be sent to the endpoint. */
    enum State {
        /** Listed as ready. */
        IN_SERVICE,

        /** Listed, but not as ready: attempts in progress go on, no new one is sent. */
        DRAINING,

        /** Not listed any more; forgotten together with its last connection. */
        REMOVED
    }

    private final ConnectionPool pool;
    private final InetSocketAddress address;
    private ListedEndpoint listed;
    private State state = State.IN_SERVICE;

    /** Connections in any state but closed. */
    private int connectionCount;

    /** The most recently used last. */
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

    /** Whether the entry of a list is about this very process at this address. */
    boolean matches(EndpointList.Entry entry) {
        return entry.address().equals(address)
                && entry.server().startMicros() == listed.startMicros();
    }

    /** Takes over what discovery says of this endpoint. */
    void update(ListedEndpoint latest) {
        listed = latest;
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

    /** It is not listed any more. */
    void remove() {
        leaveService(State.REMOVED);
    }

    private void leaveService(State next) {
        boolean wasInService = isInService();
        state = next;
        if (wasInService) {
            closeIdleConnections();
        }
    }

    /** Whether a new attempt may be sent. */
    boolean isInService() {
        return state == State.IN_SERVICE;
    }

    /** Whether nothing is left that needs this endpoint. */
    boolean isForgettable() {
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

    /** The connection that has been idle longest, or null. */
    UpstreamConnection oldestIdle() {
        return idle.peekFirst();
    }

    /**
     * Takes the most recently used of the connections that have been idle for the reuse delay, and
     * that are still usable; those that are found closed are dropped.
     *
     * @return null where there is none
     */
    UpstreamConnection takeReusable(long nowMicros) {
        for (var latest = idle.descendingIterator(); latest.hasNext(); ) {
            UpstreamConnection connection = latest.next();
            if (connection.idleMicros(nowMicros) >= ConnectionPool.REUSE_DELAY_MICROS) {
                latest.remove();
                if (connection.isReusable()) {
                    return connection;
                }
            }
        }
        return null;
    }

    void closeOldestIdle() {
        idle.pollFirst().close();
    }

    /** Closes connections that have been idle for so long, in microseconds. */
    void closeIdleSince(long nowMicros, long idleTimeoutMicros) {
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
