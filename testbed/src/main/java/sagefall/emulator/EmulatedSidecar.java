package sagefall.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sagefall.balancer.api.AttemptOutcome;
import sagefall.balancer.api.AttemptResult;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.EndpointListKind;
import sagefall.balancer.api.ListedEndpoint;
import sagefall.balancer.api.LoadBalancer;
import sagefall.balancer.api.LoadReport;
import sagefall.balancer.api.RejectionReason;
import sagefall.balancer.api.Request;

/**
 * The host of one load balancer, as the real sidecar and the simulator's adapter are: it turns what
 * happens into events and actions into what happens, and decides nothing. It holds the connections
 * to servers.
 */
public final class EmulatedSidecar
        implements BalancerActions, SidecarHandle, EndpointListSubscriber {

    /** The module's own log lines, for whoever turns this logger on. */
    private static final Logger LOG = LoggerFactory.getLogger("module");

    private final SidecarEnvironment environment;
    private final int index;
    private final int zone;
    private final Map<String, ClientRequest> openRequests = new HashMap<>();
    private final IdleConnections idleConnections = new IdleConnections();
    private final EndpointView endpoints = new EndpointView();
    private LoadBalancer balancer;
    private int incarnation;
    private String requestIdPrefix = "";
    private boolean up;
    private boolean draining;

    EmulatedSidecar(SidecarEnvironment environment, int index, int zone) {
        this.environment = environment;
        this.index = index;
        this.zone = zone;
    }

    @Override
    public int index() {
        return index;
    }

    @Override
    public int zone() {
        return zone;
    }

    @Override
    public boolean isUp() {
        return up;
    }

    @Override
    public boolean isDraining() {
        return draining;
    }

    @Override
    public String requestIdPrefix() {
        return requestIdPrefix;
    }

    @Override
    public int incarnation() {
        return incarnation;
    }

    /** What its present process knows of a server, or null. */
    EndpointView.Knowledge knowledgeOf(long server) {
        return endpoints.of(server);
    }

    /** Whether its present process knows when the server started. */
    boolean knowsStart(EmulatedServer server) {
        EndpointView.Knowledge known = endpoints.of(server.id);
        return known != null && known.startMicros() == server.startedAtMicros;
    }

    /** Starts a new process, which knows the list that the last one had. */
    void start(List<ListedEndpoint> firstList) {
        incarnation++;
        requestIdPrefix = String.format("%04x%02x", index, incarnation & 0xff);
        up = true;
        draining = false;
        endpoints.forgetKnowledge();
        openRequests.clear();
        balancer = environment.createLoadBalancer(this);
        onEndpointList(EndpointListKind.CACHED, endpoints.isEmpty() ? firstList : endpoints.list());
    }

    /** The process drains before a planned restart: its clients go elsewhere. */
    void drain() {
        draining = true;
    }

    /** Ends the process at once with all its connections; returns the requests that were open. */
    List<ClientRequest> kill() {
        List<ClientRequest> aborted = new ArrayList<>(openRequests.values());
        up = false;
        incarnation++;
        balancer = null;
        idleConnections.closeAll(environment::server);
        for (ClientRequest request : aborted) {
            for (EmulatedAttempt attempt : request.attempts) {
                if (attempt.isInFlight()) {
                    IdleConnections.release(attempt.server, attempt.serverEpoch);
                }
            }
        }
        openRequests.clear();
        return aborted;
    }

    // Events for the load balancer.

    @Override
    public void onEndpointList(EndpointListKind kind, List<ListedEndpoint> list) {
        if (balancer == null) {
            return;
        }
        long nowMicros = environment.events().now();
        endpoints.apply(nowMicros, kind, list);
        balancer.onEndpointList(nowMicros, kind, list);
    }

    @Override
    public void submit(ClientRequest request, boolean markedAsRetry) {
        EventQueue events = environment.events();
        openRequests.put(request.id, request);
        atInThisIncarnation(request.deadlineMicros, () -> onDeadline(request));
        ClientOperation operation = request.operation;
        balancer.onRequest(
                events.now(),
                new Request(
                        request.id,
                        0,
                        operation.tenant,
                        markedAsRetry,
                        operation.key,
                        request.deadlineMicros,
                        true));
    }

    private void onDeadline(ClientRequest request) {
        for (int i = 0; i < request.attempts.size(); i++) {
            EmulatedAttempt attempt = request.attempts.get(i);
            if (attempt.isInFlight()) {
                endAttempt(attempt, AttemptResult.TIMED_OUT, null);
            }
        }
        afterInThisIncarnation(
                environment.limits().answerGraceMicros(),
                () -> {
                    if (!request.finished) {
                        reportUnanswered(request);
                    }
                });
    }

    private void reportUnanswered(ClientRequest request) {
        environment
                .invariants()
                .breach(InvariantChecker.Rule.ONE_ANSWER, request.id, InvariantChecker.NONE, index);
        disconnectClient(request);
        environment.answer(request, ClientAnswer.FAILED, null, 0);
    }

    @Override
    public void disconnectClient(ClientRequest request) {
        if (request.finished || balancer == null) {
            return;
        }
        request.finished = true;
        balancer.onClientDisconnected(environment.events().now(), request.id);
        removeIfDone(request);
    }

    private void removeIfDone(ClientRequest request) {
        if (request.finished && request.inFlight == 0) {
            openRequests.remove(request.id);
        }
    }

    /** An attempt has ended, as this side sees it. */
    void endAttempt(EmulatedAttempt attempt, AttemptResult result, LoadReport report) {
        if (!attempt.isInFlight() || attempt.incarnation != incarnation) {
            return;
        }
        attempt.end(result);
        ClientRequest request = attempt.request;
        request.inFlight--;
        long nowMicros = environment.events().now();
        if (isReusable(attempt, result)) {
            idleConnections.add(
                    attempt.server, new IdleConnections.Connection(nowMicros, attempt.serverEpoch));
        } else {
            IdleConnections.release(attempt.server, attempt.serverEpoch);
        }
        if (result == AttemptResult.SERVED && !request.finished) {
            request.finished = true;
            attempt.answeredClient = true;
            environment.answer(request, ClientAnswer.SERVED, null, 0);
        }
        balancer.onAttemptOutcome(
                nowMicros,
                new AttemptOutcome(
                        request.id,
                        attempt.number,
                        attempt.server.id,
                        result,
                        nowMicros - attempt.startedAtMicros,
                        request.finished,
                        report));
        removeIfDone(request);
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

    // Connections.

    private void connect(EmulatedAttempt attempt) {
        EventQueue events = environment.events();
        EmulatedServer server = attempt.server;
        SidecarEnvironment.Limits limits = environment.limits();
        // Closed before the server's own timeout, as the real host does.
        double oldestMicros = events.now() - limits.idleTimeoutMicros() * 2 / 3;
        IdleConnections.Connection connection = idleConnections.take(server, oldestMicros);
        if (connection != null) {
            attempt.serverEpoch = connection.serverEpoch();
            environment.transmit(attempt);
            return;
        }
        attempt.openedConnection = true;
        EmulatedNetwork network = environment.network();
        long latencyMicros = network.oneWayMicros(zone, server.zone);
        if (network.isCutBetween(zone, server.zone)
                || server.state == EmulatedServer.State.SILENT) {
            failToConnect(attempt, limits.connectTimeoutMicros());
            return;
        }
        if (server.state == EmulatedServer.State.DEAD
                || server.connections >= server.spec.maxConnections()) {
            failToConnect(attempt, 2 * latencyMicros);
            return;
        }
        attempt.serverEpoch = server.epoch;
        server.connections++;
        events.scheduleAfter(
                (long) (2 * latencyMicros * limits.connectRoundTrips()),
                () -> onConnected(attempt));
    }

    private void failToConnect(EmulatedAttempt attempt, long afterMicros) {
        environment
                .events()
                .scheduleAfter(
                        afterMicros, () -> endAttempt(attempt, AttemptResult.NO_CONNECTION, null));
    }

    private void onConnected(EmulatedAttempt attempt) {
        if (!attempt.isInFlight() || attempt.incarnation != incarnation) {
            return;
        }
        if (environment.events().now() >= attempt.sendDeadlineMicros) {
            endAttempt(attempt, AttemptResult.NOT_SENT, null);
        } else {
            environment.transmit(attempt);
        }
    }

    // Actions of the load balancer.

    @Override
    public void send(String requestId, long serverId, long timeoutMicros, long latestMicros) {
        EventQueue events = environment.events();
        ClientRequest request = openRequests.get(requestId);
        EmulatedServer server = environment.server(serverId);
        environment.invariants().onSend(this, request, requestId, server, serverId);
        if (request == null || server == null) {
            return;
        }
        EmulatedAttempt attempt =
                new EmulatedAttempt(request, this, request.attempts.size(), server, events.now());
        attempt.sendDeadlineMicros = latestMicros;
        request.attempts.add(attempt);
        request.inFlight++;
        if (request.finished || events.now() >= request.deadlineMicros) {
            events.scheduleAfter(1, () -> endAttempt(attempt, AttemptResult.NOT_SENT, null));
            return;
        }
        if (timeoutMicros > 0 && events.now() + timeoutMicros < request.deadlineMicros) {
            events.scheduleAfter(
                    timeoutMicros, () -> endAttempt(attempt, AttemptResult.TIMED_OUT, null));
        }
        connect(attempt);
    }

    @Override
    public void reject(String requestId, long retryAfterMicros, RejectionReason reason) {
        ClientRequest request = openRequests.get(requestId);
        environment.invariants().onReject(this, request, requestId);
        finish(request, ClientAnswer.REJECTED, reason, retryAfterMicros);
    }

    @Override
    public void fail(String requestId, RejectionReason reason) {
        ClientRequest request = openRequests.get(requestId);
        environment.invariants().onAnswer(this, requestId);
        finish(request, ClientAnswer.FAILED, reason, 0);
    }

    private void finish(
            ClientRequest request,
            ClientAnswer answer,
            RejectionReason reason,
            long retryAfterMicros) {
        if (request == null || request.finished) {
            return;
        }
        request.finished = true;
        environment.answer(request, answer, reason, retryAfterMicros);
        removeIfDone(request);
    }

    @Override
    public void cancel(String requestId, int attemptNumber) {
        ClientRequest request = openRequests.get(requestId);
        if (request == null || attemptNumber < 0 || attemptNumber >= request.attempts.size()) {
            return;
        }
        environment
                .events()
                .scheduleAfter(
                        1,
                        () ->
                                endAttempt(
                                        request.attempts.get(attemptNumber),
                                        AttemptResult.CANCELLED,
                                        null));
    }

    /** Never within the event that is being handled. */
    @Override
    public void scheduleTimer(long atMicros, long token) {
        EventQueue events = environment.events();
        atInThisIncarnation(
                Math.max(atMicros, events.now() + 1), () -> balancer.onTimer(events.now(), token));
    }

    @Override
    public void closeIdleConnections(long serverId) {
        idleConnections.close(serverId, environment.server(serverId));
    }

    /** Lists are pushed; a request for one brings the list that the sidecar has. */
    @Override
    public void requestEndpointUpdates() {
        afterInThisIncarnation(
                1, () -> onEndpointList(EndpointListKind.COMPLETE, endpoints.list()));
    }

    @Override
    public void log(String line) {
        long sinceStartMicros = environment.events().now() - EventQueue.START_MICROS;
        LOG.debug("{} s, sidecar {}: {}", sinceStartMicros / 1e6, index, line);
    }

    private void afterInThisIncarnation(long micros, Runnable action) {
        atInThisIncarnation(environment.events().now() + micros, action);
    }

    /** Drops the action if this process has ended until then. */
    private void atInThisIncarnation(long atMicros, Runnable action) {
        int scheduledBy = incarnation;
        environment
                .events()
                .scheduleAt(
                        atMicros,
                        () -> {
                            if (scheduledBy == incarnation) {
                                action.run();
                            }
                        });
    }
}
