package sagefall.emulator;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongFunction;

/**
 * Holds the idle connections of one sidecar, by server. The most recently used connection is reused
 * first.
 */
final class IdleConnections {

    /**
     * An idle connection.
     *
     * @param idleSinceMicros time of the last use
     * @param serverEpoch epoch of the server process at the other end of the connection
     */
    record Connection(long idleSinceMicros, int serverEpoch) {}

    private final Map<Long, ArrayDeque<Connection>> byServer = new HashMap<>();

    /** Adds a connection that has become idle. */
    void add(EmulatedServer server, Connection connection) {
        byServer.computeIfAbsent(server.id, id -> new ArrayDeque<>()).push(connection);
    }

    /**
     * Removes and returns the most recently used connection that appears open to the sidecar.
     * Returns null if there is no such connection.
     *
     * @param oldestMicros earliest permitted time at which a reused connection became idle;
     *     connections that became idle earlier are closed
     */
    Connection take(EmulatedServer server, double oldestMicros) {
        ArrayDeque<Connection> connections = byServer.get(server.id);
        if (connections == null) {
            return null;
        }
        while (!connections.isEmpty() && connections.peekLast().idleSinceMicros < oldestMicros) {
            decrementServerConnections(server, connections.pollLast().serverEpoch);
        }
        while (!connections.isEmpty()) {
            Connection connection = connections.pop();
            if (appearsOpen(server, connection)) {
                return connection;
            }
        }
        return null;
    }

    /**
     * Returns whether the connection appears open to the sidecar. A machine that failed silently
     * has not notified its peers, so connections to it appear open.
     */
    private static boolean appearsOpen(EmulatedServer server, Connection connection) {
        boolean open =
                connection.serverEpoch == server.epoch && server.state != EmulatedServer.State.DEAD;
        return open || server.stoppedSilently;
    }

    /**
     * Closes the idle connections to a server.
     *
     * @param server the server with the id; null if no server has the id
     */
    void close(long serverId, EmulatedServer server) {
        ArrayDeque<Connection> connections = byServer.remove(serverId);
        if (connections != null) {
            connections.forEach(
                    connection -> decrementServerConnections(server, connection.serverEpoch));
        }
    }

    /** Closes all idle connections. */
    void closeAll(LongFunction<EmulatedServer> servers) {
        byServer.forEach(
                (id, connections) ->
                        connections.forEach(
                                connection ->
                                        decrementServerConnections(
                                                servers.apply(id), connection.serverEpoch)));
        byServer.clear();
    }

    /**
     * Decrements the number of open connections of a server, unless the server process that held
     * the connection has been replaced.
     */
    static void decrementServerConnections(EmulatedServer server, int serverEpoch) {
        if (server != null && serverEpoch == server.epoch && server.connections > 0) {
            server.connections--;
        }
    }
}
