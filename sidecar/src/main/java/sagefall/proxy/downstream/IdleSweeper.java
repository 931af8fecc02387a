package sagefall.proxy.downstream;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

/**
 * Enforces the time limits of client connections and closes surplus idle connections. The sweeper
 * checks all connections periodically instead of using a timer for each connection, because a flood
 * of connections would leave thousands of timers.
 */
final class IdleSweeper {

    /** Time between two sweeps. */
    static final long SWEEP_INTERVAL_MILLIS = 25;

    /**
     * Maximum time for reading a request. The time for the first request of a connection starts at
     * the accept. The time for a later request starts at its first byte. A new connection that has
     * sent nothing is half-closed when this time has passed since the accept.
     */
    private static final long REQUEST_READ_TIMEOUT_MILLIS = 2_000;

    /** Maximum time for which a connection may be idle after its last response. */
    private static final long IDLE_TIMEOUT_MILLIS = 5_000;

    /** Idle timeout of surplus connections, see {@link #closeSurplus}. */
    private static final long SURPLUS_IDLE_TIMEOUT_MILLIS = 200;

    /** Maximum time for writing a response. After this time, the connection is closed. */
    private static final long WRITE_TIMEOUT_MILLIS = 5_000;

    /**
     * Maximum time for which input on a half-closed connection is read before the socket is closed.
     * The socket is not closed at once: closing a socket with unread bytes sends a reset, and the
     * client could lose the response.
     */
    private static final long LINGER_TIMEOUT_MILLIS = 5_000;

    /**
     * The same maximum during a shutdown. The process must exit, and all requests that a client may
     * still expect to be answered have been read.
     */
    private static final long DRAIN_LINGER_TIMEOUT_MILLIS = 1_000;

    /**
     * Time without input after which a half-closed connection is closed. After this time, no more
     * bytes are expected to be in transit.
     */
    private static final long LINGER_QUIET_TIMEOUT_MILLIS = 300;

    private final Set<ClientConnection> connections;
    private final ConnectionLimiter limiter;

    IdleSweeper(Set<ClientConnection> connections, ConnectionLimiter limiter) {
        this.connections = connections;
        this.limiter = limiter;
    }

    /** Checks all connections once. */
    void sweep() {
        for (ClientConnection connection : List.copyOf(connections)) {
            enforceTimeLimit(connection);
        }
        closeSurplus();
    }

    private static void enforceTimeLimit(ClientConnection connection) {
        switch (connection.state()) {
            case ACCEPTED -> halfCloseAfter(connection, REQUEST_READ_TIMEOUT_MILLIS);
            case IDLE -> halfCloseAfter(connection, IDLE_TIMEOUT_MILLIS);
            case READING_REQUEST -> {
                if (connection.millisInState() > REQUEST_READ_TIMEOUT_MILLIS) {
                    connection.reject(
                            HttpResponseStatus.REQUEST_TIMEOUT,
                            "the request did not come whole in time");
                }
            }
            case READING_BODY, IN_FLIGHT -> checkStalls(connection);
            case WRITING, WRITING_LAST -> {
                if (connection.millisInState() > WRITE_TIMEOUT_MILLIS) {
                    connection.channel().close();
                }
            }
            case LINGERING -> {
                if (connection.millisInState() > lingerTimeoutMillis(connection)
                        || connection.millisWithoutInput() > LINGER_QUIET_TIMEOUT_MILLIS) {
                    connection.channel().close();
                }
            }
            case CLOSED -> {
                // A closed connection has no time limit.
            }
        }
    }

    private static long lingerTimeoutMillis(ClientConnection connection) {
        return connection.listener().isDraining()
                ? DRAIN_LINGER_TIMEOUT_MILLIS
                : LINGER_TIMEOUT_MILLIS;
    }

    private static void checkStalls(ClientConnection connection) {
        // The exchange is null if the client has disconnected but the close is not reported yet.
        ClientExchange exchange = connection.exchange();
        if (exchange != null) {
            exchange.checkStalls();
        }
    }

    private static void halfCloseAfter(ClientConnection connection, long timeoutMillis) {
        if (connection.millisInState() > timeoutMillis) {
            connection.halfClose();
        }
    }

    /**
     * Half-closes idle connections beyond half of the connection limit, the longest idle first. The
     * number of client connections is limited, and some clients send one request and keep their
     * connection open. Such connections would keep other clients out although the sidecar and its
     * endpoints have little load. Closing surplus connections also guards against connection leaks
     * in clients and against connection floods. Drawback: a client that seldom sends a request has
     * to reconnect.
     */
    private void closeSurplus() {
        long surplus = limiter.connectionsBeyondHalfLimit();
        if (surplus > 0) {
            surplus -=
                    connections.stream()
                            .filter(c -> c.state() == ClientConnectionState.LINGERING)
                            .count();
        }
        if (surplus > 0) {
            connections.stream()
                    .filter(c -> c.idleMillis() > SURPLUS_IDLE_TIMEOUT_MILLIS)
                    .sorted(Comparator.comparingLong(ClientConnection::idleMillis).reversed())
                    .limit(surplus)
                    .toList()
                    .forEach(ClientConnection::halfClose);
        }
    }
}
