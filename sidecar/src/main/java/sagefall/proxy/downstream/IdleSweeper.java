package sagefall.proxy.downstream;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

/**
 * Enforces the time limits of client connections and closes surplus idle ones. One look at all
 * connections takes the place of timers for each, of which a flood of connections would leave
 * thousands.
 */
final class IdleSweeper {

    /** Time between two sweeps. */
    static final long SWEEP_INTERVAL_MILLIS = 25;

    /**
     * From the connection, or from a later request's first byte, until the request has been read;
     * the same without any byte on a new connection.
     */
    private static final long REQUEST_READ_TIMEOUT_MILLIS = 2_000;

    /** Without a request in flight, since the last response. */
    private static final long IDLE_TIMEOUT_MILLIS = 5_000;

    /** The same where connections are many, see {@link #closeSurplus}. */
    private static final long SURPLUS_IDLE_TIMEOUT_MILLIS = 200;

    /** A response that the client has not taken in this time is given up. */
    private static final long WRITE_TIMEOUT_MILLIS = 5_000;

    /**
     * A half-closed connection may go on sending for so long: closing with bytes unread resets the
     * connection, and the client could lose the response.
     */
    private static final long LINGER_TIMEOUT_MILLIS = 5_000;

    /** A half-closed connection is closed once it is silent for so long: nothing is on its way. */
    private static final long LINGER_QUIET_TIMEOUT_MILLIS = 300;

    private final Set<ClientConnection> connections;
    private final ConnectionLimiter limiter;

    IdleSweeper(Set<ClientConnection> connections, ConnectionLimiter limiter) {
        this.connections = connections;
        this.limiter = limiter;
    }

    /** Looks at all connections once. */
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
                if (connection.millisInState() > LINGER_TIMEOUT_MILLIS
                        || connection.millisWithoutInput() > LINGER_QUIET_TIMEOUT_MILLIS) {
                    connection.channel().close();
                }
            }
            case CLOSED -> {
                // Nothing is left to be limited.
            }
        }
    }

    /** An exchange whose client was found gone ends before its channel is reported closed. */
    private static void checkStalls(ClientConnection connection) {
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
     * Beyond half of the limit, connections that have been idle for a while are closed, the longest
     * idle first. Some clients ask once and keep their connection; clients may hold only so many in
     * all, and those that still have something to ask then find none, though the sidecar and its
     * servers have little to do. Against leaks of connections in clients and floods of them too.
     * Harm: a client that asks less often has to reconnect.
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
