package sagefall.proxy.downstream;

import io.netty.channel.Channel;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import java.util.Set;

/**
 * Limits the number of client connections, and thereby the number of file descriptors. Accepts only
 * as many connections as there is capacity for. At the limit, evicts a connection that carries no
 * request.
 */
final class ConnectionLimiter {

    /** Maximum number of connections accepted in one event loop iteration. */
    private static final int MAX_ACCEPTS_PER_ITERATION = 64;

    /** Eviction precedence of a connection that must stay open. */
    private static final int NOT_EVICTABLE = 0;

    /** Eviction precedence of a connection that has had a response and is idle. */
    private static final int IDLE_PRECEDENCE = 1;

    /** Eviction precedence of a connection that has never sent anything. */
    private static final int UNUSED_PRECEDENCE = 2;

    /** Eviction precedence of a connection whose client has stopped in the middle of a request. */
    private static final int STOPPED_PRECEDENCE = 3;

    /** Eviction precedence of a half-closed connection that waits for its client to close. */
    private static final int LINGERING_PRECEDENCE = 4;

    /**
     * Time without input after which the client of an unfinished request counts as stopped. Clients
     * that write slowly pause for less.
     */
    static final long STOPPED_MILLIS = 500;

    private final Set<ClientConnection> connections;
    private final int maxConnections;
    private final ServerChannelRecvByteBufAllocator acceptAllocator =
            new ServerChannelRecvByteBufAllocator();

    ConnectionLimiter(Set<ClientConnection> connections, int maxConnections) {
        this.connections = connections;
        this.maxConnections = maxConnections;
    }

    /**
     * Returns the listening channel's allocator, which limits the accepts per event loop iteration.
     */
    ServerChannelRecvByteBufAllocator acceptAllocator() {
        return acceptAllocator;
    }

    /** Returns the number of connections minus half of the limit. */
    long connectionsBeyondHalfLimit() {
        return (long) connections.size() - maxConnections / 2;
    }

    /**
     * Adjusts how many connections the listening channel accepts. At the limit, evicts one
     * connection that carries no complete request. Half-closed connections are evicted first, then
     * connections whose client has stopped in the middle of a request, then connections that have
     * never sent anything, then idle connections. Within each of these groups, the connection that
     * has been in its state longest is evicted first. If all connections are busy, new ones wait in
     * the kernel's accept queue.
     *
     * <p>Below the limit, all waiting connections are accepted at once. Accepting one connection
     * per event loop iteration is too slow if iterations are long (a cold JVM, no CPU time, a
     * pause): requests then spend their time in the accept queue, where the balancer can neither
     * reject them nor know their age, and each client that times out reconnects at the end of the
     * queue. Drawback: a burst of connections takes its file descriptors at once. Therefore the
     * limit has to be enforced here and not by the accept rate.
     */
    void adjustAccepting(Channel listening) {
        boolean hasCapacity = connections.size() < maxConnections || evictOne();
        int capacity = maxConnections - connections.size();
        acceptAllocator.maxMessagesPerRead(
                Math.max(1, Math.min(MAX_ACCEPTS_PER_ITERATION, capacity)));
        listening.config().setAutoRead(hasCapacity);
    }

    /**
     * Evicts the connection with the highest eviction rank; returns whether one has been closed.
     */
    private boolean evictOne() {
        ClientConnection victim = null;
        for (ClientConnection connection : connections) {
            if (evictionRank(connection) > (victim == null ? 0 : evictionRank(victim))) {
                victim = connection;
            }
        }
        return victim != null && evict(victim);
    }

    /** Closes a connection unless a request has arrived on it; returns whether it is closed. */
    private static boolean evict(ClientConnection connection) {
        if (isStopped(connection)) {
            connection.rejectStopped();
        }
        boolean evictable =
                connection.state() == ClientConnectionState.LINGERING
                        || connection.isStillBetweenRequests();
        if (evictable) {
            connection.channel().close();
        }
        return evictable || !connection.channel().isActive();
    }

    /**
     * Returns the eviction rank; 0 if the connection must not be evicted. The rank is the
     * precedence plus a fraction that grows with the time spent in the state. The fraction is less
     * than 1. Therefore the time decides only among connections of one precedence.
     */
    private static double evictionRank(ClientConnection connection) {
        int precedence = evictionPrecedence(connection);
        if (precedence == NOT_EVICTABLE) {
            return 0;
        }
        return precedence + 1 - 1 / (1.0 + connection.millisInState());
    }

    private static boolean isStopped(ClientConnection connection) {
        return connection.state() == ClientConnectionState.READING_REQUEST
                && connection.millisWithoutInput() > STOPPED_MILLIS;
    }

    private static int evictionPrecedence(ClientConnection connection) {
        if (connection.millisSinceAccepted() <= ClientConnection.FIRST_REQUEST_GRACE_MILLIS) {
            return NOT_EVICTABLE;
        }
        return switch (connection.state()) {
            case LINGERING -> LINGERING_PRECEDENCE;
            case READING_REQUEST -> isStopped(connection) ? STOPPED_PRECEDENCE : NOT_EVICTABLE;
            case ACCEPTED -> UNUSED_PRECEDENCE;
            case IDLE -> IDLE_PRECEDENCE;
            default -> NOT_EVICTABLE;
        };
    }
}
