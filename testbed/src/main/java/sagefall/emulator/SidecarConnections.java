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

    /** Sends an attempt over an idle connection, or opens one first. */
    void send(EmulatedAttempt attempt) {
        // Closed before the server's own timeout, as the real host does.
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
            fail(attempt, limits.connectTimeoutMicros());
            return;
        }
        if (server.state == EmulatedServer.State.DEAD
                || server.connections >= server.spec.maxConnections()) {
            fail(attempt, 2 * latencyMicros);
            return;
        }
        attempt.serverEpoch = server.epoch;
        server.connections++;
        long setupMicros = (long) (2 * latencyMicros * limits.connectRoundTrips());
        environment.events().scheduleAfter(setupMicros, () -> onOpened(attempt));
    }

    private void fail(EmulatedAttempt attempt, long afterMicros) {
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

    /** An attempt has ended; its connection is idle or closed. */
    void release(EmulatedAttempt attempt, AttemptResult result) {
        if (isReusable(attempt, result)) {
            long nowMicros = environment.events().now();
            idle.add(
                    attempt.server, new IdleConnections.Connection(nowMicros, attempt.serverEpoch));
        } else {
            abort(attempt);
        }
    }

    private static boolean isReusable(EmulatedAttempt attempt, AttemptResult result) {
        boolean answered =
                result == AttemptResult.SERVED
                        || result == AttemptResult.ERROR
                        || result == AttemptResult.REJECTED;
        return answered
                && attempt.serverEpoch == attempt.server.epoch
                && attempt.server.state != EmulatedServer.State.DEAD;
    }

    /** Closes the connection of an attempt. */
    void abort(EmulatedAttempt attempt) {
        IdleConnections.release(attempt.server, attempt.serverEpoch);
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
