package sagefall.emulator;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sagefall.balancer.api.AttemptResult;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.EndpointListKind;
import sagefall.balancer.api.RejectionReason;

/**
 * Carries out the actions that the load balancer of an emulated sidecar calls. Attempts, rejections
 * and failures are checked against the invariants before they are carried out.
 */
final class SidecarActions implements BalancerActions {

    /** Logger that receives the log lines of the load balancer, at level debug. */
    private static final Logger LOG = LoggerFactory.getLogger("module");

    private final SidecarEnvironment environment;
    private final EmulatedSidecar sidecar;
    private final SidecarConnections connections;

    SidecarActions(
            SidecarEnvironment environment,
            EmulatedSidecar sidecar,
            SidecarConnections connections) {
        this.environment = environment;
        this.sidecar = sidecar;
        this.connections = connections;
    }

    @Override
    public void send(String requestId, long serverId, long timeoutMicros, long latestStartMicros) {
        EventQueue events = environment.events();
        ClientRequest request = sidecar.openRequest(requestId);
        EmulatedServer server = environment.server(serverId);
        environment.invariants().onSend(sidecar, request, requestId, server, serverId);
        if (request == null || server == null) {
            return;
        }
        int number = request.attempts.size();
        EmulatedAttempt attempt =
                new EmulatedAttempt(request, sidecar, number, server, events.now());
        attempt.sendDeadlineMicros = latestStartMicros;
        request.attempts.add(attempt);
        request.inFlight++;
        if (request.completed || events.now() >= request.deadlineMicros) {
            endLater(attempt, 1, AttemptResult.NOT_SENT);
            return;
        }
        if (timeoutMicros > 0 && events.now() + timeoutMicros < request.deadlineMicros) {
            endLater(attempt, timeoutMicros, AttemptResult.TIMED_OUT);
        }
        connections.send(attempt);
    }

    private void endLater(EmulatedAttempt attempt, long afterMicros, AttemptResult result) {
        environment
                .events()
                .scheduleAfter(afterMicros, () -> sidecar.endAttempt(attempt, result, null));
    }

    @Override
    public void reject(String requestId, long retryAfterMicros, RejectionReason reason) {
        ClientRequest request = sidecar.openRequest(requestId);
        environment.invariants().onReject(sidecar, request, requestId);
        sidecar.finish(request, ResponseKind.REJECTED, reason, retryAfterMicros);
    }

    @Override
    public void fail(String requestId, RejectionReason reason) {
        ClientRequest request = sidecar.openRequest(requestId);
        environment.invariants().onFinalResponse(sidecar, requestId);
        sidecar.finish(request, ResponseKind.FAILED, reason, 0);
    }

    @Override
    public void cancel(String requestId, int attemptNumber) {
        ClientRequest request = sidecar.openRequest(requestId);
        if (request == null || attemptNumber < 0 || attemptNumber >= request.attempts.size()) {
            return;
        }
        endLater(request.attempts.get(attemptNumber), 1, AttemptResult.CANCELLED);
    }

    /**
     * Schedules a timer. The timer fires one microsecond from now at the earliest, so it never
     * fires while the current event is handled.
     */
    @Override
    public void scheduleTimer(long atMicros, long token) {
        long earliestMicros = environment.events().now() + 1;
        sidecar.scheduleAt(Math.max(atMicros, earliestMicros), () -> sidecar.onTimer(token));
    }

    @Override
    public void closeIdleConnections(long serverId) {
        connections.closeIdle(serverId);
    }

    /**
     * Delivers the current endpoint list of the sidecar again. The sidecar does not request a list
     * from the discovery service, because emulated discovery pushes all changes.
     */
    @Override
    public void requestEndpointUpdates() {
        sidecar.scheduleAfter(
                1, () -> sidecar.onEndpointList(EndpointListKind.COMPLETE, sidecar.currentList()));
    }

    @Override
    public void log(String line) {
        long sinceStartMicros = environment.events().now() - EventQueue.START_MICROS;
        LOG.debug("{} s, sidecar {}: {}", sinceStartMicros / 1e6, sidecar.index(), line);
    }
}
