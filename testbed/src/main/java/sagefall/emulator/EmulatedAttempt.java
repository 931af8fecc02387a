package sagefall.emulator;

import sagefall.balancer.api.AttemptResult;

/** One attempt of a sidecar to have a server answer a request. */
final class EmulatedAttempt extends Job {

    private static final int NOT_CONNECTED = -1;

    final ClientRequest request;
    final EmulatedSidecar sidecar;

    /** The incarnation of the sidecar that made it; a later one knows nothing of it. */
    final int incarnation;

    /** Number among the attempts of the request, from 0 on. */
    final int number;

    final EmulatedServer server;
    final long startedAtMicros;

    /** The epoch of the server process that the connection leads to. */
    int serverEpoch = NOT_CONNECTED;

    /** Whether a connection was opened for it. */
    boolean openedConnection;

    /** From when on it may no longer be sent. */
    long sendDeadlineMicros = Long.MAX_VALUE;

    /** Whether the client has its answer from this attempt; otherwise the work was wasted. */
    boolean answeredClient;

    /** How it ended, as the sidecar sees it; null while it is in flight. */
    private AttemptResult result;

    EmulatedAttempt(
            ClientRequest request,
            EmulatedSidecar sidecar,
            int number,
            EmulatedServer server,
            long startedAtMicros) {
        this.request = request;
        this.sidecar = sidecar;
        this.incarnation = sidecar.incarnation();
        this.number = number;
        this.server = server;
        this.startedAtMicros = startedAtMicros;
    }

    boolean isInFlight() {
        return result == null;
    }

    /** Whether the server may have executed the request, as far as the sidecar can know. */
    boolean mayHaveExecuted() {
        return result == null || !result.provesNotExecuted;
    }

    /** Records how it ended. */
    void end(AttemptResult result) {
        this.result = result;
    }

    /** Whether both zones are the same. */
    boolean staysInZone() {
        return sidecar.zone() == server.zone;
    }

    @Override
    protected boolean senderKnowsStart(EmulatedServer server) {
        return sidecar.knowsStart(server);
    }
}
