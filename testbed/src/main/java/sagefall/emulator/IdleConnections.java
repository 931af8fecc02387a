package sagefall.emulator;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongFunction;

/** The idle connections of one sidecar, by server; the one used last is reused first. */
final class IdleConnections {

    /**
     * One of them.
     *
     * @param idleSinceMicros when it was used last
     * @param serverEpoch of the server process that it leads to
     */
    record Connection(long idleSinceMicros, int serverEpoch) {}

    private final Map<Long, ArrayDeque<Connection>> byServer = new HashMap<>();

    /** Keeps a connection for later. */
    void add(EmulatedServer server, Connection connection) {
        byServer.computeIfAbsent(server.id, id -> new ArrayDeque<>()).push(connection);
    }

    /**
     * Takes a connection that may be used, or null where a new one is needed.
     *
     * @param oldestMicros connections that are idle for longer are closed first
     */
    Connection take(EmulatedServer server, double oldestMicros) {
        ArrayDeque<Connection> connections = byServer.get(server.id);
        if (connections == null) {
            return null;
        }
        while (!connections.isEmpty() && connections.peekLast().idleSinceMicros < oldestMicros) {
            release(server, connections.pollLast().serverEpoch);
        }
        while (!connections.isEmpty()) {
            Connection connection = connections.pop();
            if (looksOpen(server, connection)) {
                return connection;
            }
        }
        return null;
    }

    /**
     * A machine that stopped silently has not notified its peers, which still use the connection.
     */
    private static boolean looksOpen(EmulatedServer server, Connection connection) {
        boolean open =
                connection.serverEpoch == server.epoch && server.state != EmulatedServer.State.DEAD;
        return open || server.stoppedSilently;
    }

    /** Closes those to one server, which may be null where it is not known any more. */
    void close(long serverId, EmulatedServer server) {
        ArrayDeque<Connection> connections = byServer.remove(serverId);
        if (connections != null) {
            connections.forEach(connection -> release(server, connection.serverEpoch));
        }
    }

    /** Closes all. */
    void closeAll(LongFunction<EmulatedServer> servers) {
        byServer.forEach(
                (id, connections) ->
                        connections.forEach(
                                connection -> release(servers.apply(id), connection.serverEpoch)));
        byServer.clear();
    }

    /** The server no longer holds a connection to that epoch of it. */
    static void release(EmulatedServer server, int serverEpoch) {
        if (server != null && serverEpoch == server.epoch && server.connections > 0) {
            server.connections--;
        }
    }
}
