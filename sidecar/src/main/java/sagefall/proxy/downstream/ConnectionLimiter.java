package sagefall.proxy.downstream;

import io.netty.channel.Channel;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import java.util.Set;

/**
 * Keeps the number of client connections, and so of descriptors, within its limit: accepts only as
 * many as there is capacity for, and at the limit evicts a connection that carries no request.
 */
final class ConnectionLimiter {

    /** Most connections accepted in one turn of the loop. */
    private static final int MAX_ACCEPTS_PER_TURN = 64;

    /** Eviction precedence of a connection that must stay open. */
    private static final int NOT_EVICTABLE = 0;

    /** Eviction precedence of a connection that has had a response and is idle. */
    private static final int IDLE_PRECEDENCE = 1;

    /** Eviction precedence of a connection that never sent anything. */
    private static final int UNUSED_PRECEDENCE = 2;

    /** Eviction precedence of a connection that only waits for its client to close. */
    private static final int LINGERING_PRECEDENCE = 3;

    private final Set<ClientConnection> connections;
    private final int maxConnections;
    private final ServerChannelRecvByteBufAllocator acceptAllocator =
            new ServerChannelRecvByteBufAllocator();

    ConnectionLimiter(Set<ClientConnection> connections, int maxConnections) {
        this.connections = connections;
        this.maxConnections = maxConnections;
    }

    /** The allocator of the listening channel: it says how many connections a turn accepts. */
    ServerChannelRecvByteBufAllocator acceptAllocator() {
        return acceptAllocator;
    }

    /** How many connections there are beyond half of the limit; not positive below it. */
    long connectionsBeyondHalfLimit() {
        return (long) connections.size() - maxConnections / 2;
    }

    /**
     * Adjusts how many connections the listening channel accepts. At the limit one connection that
     * waits for nothing is evicted: one that was rejected, else one that sent nothing at all, else
     * the one that was answered the longest time ago. Where all are busy, new ones wait to be
     * accepted.
     *
     * <p>Up to the limit all that wait are accepted at once. One in each turn of the loop was too
     * few where turns are long (a cold runtime, no CPU left, a pause): requests then spent their
     * time in the kernel's queue, unseen by the balancer, which neither rejected them nor knew how
     * old they were, and each client that gave up came back behind the others. Harm: a burst gets
     * its descriptors at once, so the limit has to be enforced here, not by the rate of accepting.
     */
    void adjustAccepting(Channel listening) {
        boolean hasCapacity = connections.size() < maxConnections || evictOne();
        int capacity = maxConnections - connections.size();
        acceptAllocator.maxMessagesPerRead(Math.max(1, Math.min(MAX_ACCEPTS_PER_TURN, capacity)));
        listening.config().setAutoRead(hasCapacity);
    }

    private boolean evictOne() {
        ClientConnection victim = null;
        for (ClientConnection connection : connections) {
            if (evictionRank(connection) > (victim == null ? 0 : evictionRank(victim))) {
                victim = connection;
            }
        }
        return victim != null && evict(victim);
    }

    /** Closes a connection at once unless a request has arrived; whether it is closed. */
    private static boolean evict(ClientConnection connection) {
        boolean evictable =
                connection.state() == ClientConnectionState.LINGERING
                        || connection.isStillBetweenRequests();
        if (evictable) {
            connection.channel().close();
        }
        return evictable || !connection.channel().isActive();
    }

    /**
     * How well this connection can be spared, by its precedence and then by the time spent in its
     * state; 0 where it can't.
     */
    private static double evictionRank(ClientConnection connection) {
        int precedence = evictionPrecedence(connection);
        if (precedence == NOT_EVICTABLE) {
            return 0;
        }
        return precedence + 1 - 1 / (1.0 + connection.millisInState());
    }

    private static int evictionPrecedence(ClientConnection connection) {
        if (connection.millisSinceAccepted() <= ClientConnection.FIRST_REQUEST_GRACE_MILLIS) {
            return NOT_EVICTABLE;
        }
        return switch (connection.state()) {
            case LINGERING -> LINGERING_PRECEDENCE;
            case ACCEPTED -> UNUSED_PRECEDENCE;
            case IDLE -> IDLE_PRECEDENCE;
            default -> NOT_EVICTABLE;
        };
    }
}
