package sagefall.emulator;

import sagefall.balancer.api.AttemptResult;

/** Opens, reuses and closes the connections of one sidecar to servers. */
final class SidecarConnections {

    private final SidecarEnvironment environment;
    private final EmulatedSidecar sidecar;
    private final IdleConnections idle = new IdleConnections();

    SidecarConnections(SidecarEnvironment environment, EmulatedSidecar sidecar) {
        this.environment = environment;
        this.sidecar = sidecar;
    }

    /** Sends an attempt over an idle connection. If none is idle, opens a new connection. */
    void send(EmulatedAttempt attempt) {
        // take() closes connections that have been idle for more than two thirds of the server's
        // idle timeout. The real sidecar also closes idle connections before the server does.
        double oldestMicros =
                environment.events().now() - environment.limits().idleTimeoutMicros() * 2 / 3;
        IdleConnections.Connection connection = idle.take(attempt.server, oldestMicros);
        if (connection == null) {
            open(attempt);
            return;
        }
        attempt.serverEpoch = connection.serverEpoch();
        environment.transmit(attempt);
    }

    private void open(EmulatedAttempt attempt) {
        EmulatedServer server = attempt.server;
        SidecarEnvironment.Limits limits = environment.limits();
        EmulatedNetwork network = environment.network();
        attempt.openedConnection = true;
        long latencyMicros = network.oneWayMicros(sidecar.zone(), server.zone);
        if (network.isCutBetween(sidecar.zone(), server.zone)
                || server.state == EmulatedServer.State.SILENT) {
            scheduleConnectFailure(attempt, limits.connectTimeoutMicros());
            return;
        }
        if (server.state == EmulatedServer.State.DEAD
                || server.connections >= server.spec.maxConnections()) {
            scheduleConnectFailure(attempt, 2 * latencyMicros);
            return;
        }
        attempt.serverEpoch = server.epoch;
        server.connections++;
        long setupMicros = (long) (2 * latencyMicros * limits.connectRoundTrips());
        environment.events().scheduleAfter(setupMicros, () -> onOpened(attempt));
    }

    private void scheduleConnectFailure(EmulatedAttempt attempt, long afterMicros) {
        environment
                .events()
                .scheduleAfter(
                        afterMicros,
                        () -> sidecar.endAttempt(attempt, AttemptResult.NO_CONNECTION, null));
    }

    private void onOpened(EmulatedAttempt attempt) {
        if (!attempt.isInFlight() || attempt.incarnation != sidecar.incarnation()) {
            return;
        }
        if (environment.events().now() >= attempt.sendDeadlineMicros) {
            sidecar.endAttempt(attempt, AttemptResult.NOT_SENT, null);
        } else {
            environment.transmit(attempt);
        }
    }

    /**
     * Adds the connection of an ended attempt to the idle connections if the connection can be
     * reused. Otherwise closes the connection.
     */
    void release(EmulatedAttempt attempt, AttemptResult result) {
        if (isReusable(attempt, result)) {
            long nowMicros = environment.events().now();
            idle.add(
                    attempt.server, new IdleConnections.Connection(nowMicros, attempt.serverEpoch));
        } else {
            close(attempt);
        }
    }

    private static boolean isReusable(EmulatedAttempt attempt, AttemptResult result) {
        boolean responseReceived =
                result == AttemptResult.SERVED
                        || result == AttemptResult.ERROR
                        || result == AttemptResult.REJECTED;
        return responseReceived
                && attempt.serverEpoch == attempt.server.epoch
                && attempt.server.state != EmulatedServer.State.DEAD;
    }

    /** Closes the connection of an attempt. */
    void close(EmulatedAttempt attempt) {
        IdleConnections.decrementServerConnections(attempt.server, attempt.serverEpoch);
    }

    /** Closes the idle connections to a server. */
    void closeIdle(long serverId) {
        idle.close(serverId, environment.server(serverId));
    }

    /** Closes all idle connections. */
    void closeAllIdle() {
        idle.closeAll(environment::server);
    }
}
