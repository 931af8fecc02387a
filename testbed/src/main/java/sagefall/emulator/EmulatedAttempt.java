package sagefall.emulator;

import sagefall.balancer.api.AttemptResult;

/** One sending of a request by an emulated sidecar to a server. */
final class EmulatedAttempt extends Job {

    private static final int NOT_CONNECTED = -1;

    final ClientRequest request;
    final EmulatedSidecar sidecar;

    /** Incarnation of the sidecar that made the attempt. Later incarnations ignore the outcome. */
    final int incarnation;

    /** Number of the attempt among the attempts of the request, from 0. */
    final int number;

    final EmulatedServer server;
    final long startedAtMicros;

    /** Epoch of the connected server process; {@link #NOT_CONNECTED} before a connection. */
    int serverEpoch = NOT_CONNECTED;

    /** Whether the attempt opened a new connection. */
    boolean openedConnection;

    /** Exclusive upper bound of the time at which the attempt may be sent. */
    long sendDeadlineMicros = Long.MAX_VALUE;

    /** Whether the client got the response of this attempt. If not, the work was wasted. */
    boolean deliveredToClient;

    /** Result of the attempt, as the sidecar sees it; null while the attempt is in flight. */
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

    /**
     * Returns whether the server has possibly executed the request. Returns false only if the
     * result of the attempt proves that the request was not executed.
     */
    boolean mayHaveExecuted() {
        return result == null || !result.provesNotExecuted;
    }

    /** Ends the attempt with the given result. */
    void end(AttemptResult result) {
        this.result = result;
    }

    /** Returns whether the sidecar and the server are in the same zone. */
    boolean isWithinZone() {
        return sidecar.zone() == server.zone;
    }

    @Override
    protected boolean senderKnowsStart(EmulatedServer server) {
        return sidecar.knowsStart(server);
    }
}
