package sagefall.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sagefall.balancer.api.AttemptOutcome;
import sagefall.balancer.api.AttemptResult;
import sagefall.balancer.api.EndpointListKind;
import sagefall.balancer.api.ListedEndpoint;
import sagefall.balancer.api.LoadBalancer;
import sagefall.balancer.api.LoadReport;
import sagefall.balancer.api.RejectionReason;
import sagefall.balancer.api.Request;

/**
 * Emulates a sidecar process, which is the host of one load balancer. Other hosts are the real
 * sidecar and the simulator's adapter. The process passes events to the load balancer, carries out
 * the load balancer's actions and holds the connections to servers. It makes no routing decisions.
 */
public final class EmulatedSidecar implements SidecarHandle, EndpointListSubscriber {

    private final SidecarEnvironment environment;
    private final int index;
    private final int zone;
    private final Map<String, ClientRequest> openRequests = new HashMap<>();
    private final SidecarConnections connections;
    private final SidecarActions actions;
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
        connections = new SidecarConnections(environment, this);
        actions = new SidecarActions(environment, this, connections);
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

    /** Returns the object through which the load balancer acts. */
    SidecarActions actions() {
        return actions;
    }

    private EventQueue events() {
        return environment.events();
    }

    /**
     * Returns what the current process has received about a server; null if no list contained the
     * server.
     */
    EndpointView.Knowledge knowledgeOf(long server) {
        return endpoints.of(server);
    }

    /**
     * Returns whether the current process has received the start time of the current server
     * process.
     */
    boolean knowsStart(EmulatedServer server) {
        EndpointView.Knowledge known = endpoints.of(server.id);
        return known != null && known.startMicros() == server.startedAtMicros;
    }

    /**
     * Starts a new process with the endpoint list of the previous one.
     *
     * @param initialList endpoint list that is used if there is no previous list
     */
    void start(List<ListedEndpoint> initialList) {
        incarnation++;
        requestIdPrefix = String.format("%04x%02x", index, incarnation & 0xff);
        up = true;
        draining = false;
        endpoints.clearKnowledge();
        openRequests.clear();
        balancer = environment.createLoadBalancer(this);
        onEndpointList(
                EndpointListKind.CACHED, endpoints.isEmpty() ? initialList : endpoints.list());
    }

    /**
     * Marks the process as draining before a planned restart, so that clients use other sidecars.
     */
    void drain() {
        draining = true;
    }

    /** Kills the process, closes its connections and returns its open requests. */
    List<ClientRequest> kill() {
        List<ClientRequest> aborted = new ArrayList<>(openRequests.values());
        up = false;
        incarnation++;
        balancer = null;
        connections.closeAllIdle();
        for (ClientRequest request : aborted) {
            for (EmulatedAttempt attempt : request.attempts) {
                if (attempt.isInFlight()) {
                    connections.close(attempt);
                }
            }
        }
        openRequests.clear();
        return aborted;
    }

    // ---- Events for the load balancer

    @Override
    public void onEndpointList(EndpointListKind kind, List<ListedEndpoint> list) {
        if (balancer == null) {
            return;
        }
        long nowMicros = events().now();
        endpoints.apply(nowMicros, kind, list);
        balancer.onEndpointList(nowMicros, kind, list);
    }

    @Override
    public void submit(ClientRequest request, boolean markedAsRetry) {
        openRequests.put(request.id, request);
        scheduleAt(request.deadlineMicros, () -> onDeadline(request));
        ClientOperation operation = request.operation;
        balancer.onRequest(
                events().now(),
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
        scheduleAfter(
                environment.limits().responseGraceMicros(),
                () -> {
                    if (!request.completed) {
                        reportMissingResponse(request);
                    }
                });
    }

    private void reportMissingResponse(ClientRequest request) {
        environment
                .invariants()
                .recordBreach(
                        InvariantChecker.Rule.ONE_ANSWER, request.id, InvariantChecker.NONE, index);
        disconnectClient(request);
        environment.deliverResponse(request, ResponseKind.FAILED, null, 0);
    }

    @Override
    public void disconnectClient(ClientRequest request) {
        if (request.completed || balancer == null) {
            return;
        }
        request.completed = true;
        balancer.onClientDisconnected(events().now(), request.id);
        removeIfDone(request);
    }

    private void removeIfDone(ClientRequest request) {
        if (request.completed && request.inFlight == 0) {
            openRequests.remove(request.id);
        }
    }

    /** Ends an attempt, unless it has already ended or was made by a previous process. */
    void endAttempt(EmulatedAttempt attempt, AttemptResult result, LoadReport report) {
        if (!attempt.isInFlight() || attempt.incarnation != incarnation) {
            return;
        }
        attempt.end(result);
        ClientRequest request = attempt.request;
        request.inFlight--;
        long nowMicros = events().now();
        connections.release(attempt, result);
        if (result == AttemptResult.SERVED && !request.completed) {
            request.completed = true;
            attempt.deliveredToClient = true;
            environment.deliverResponse(request, ResponseKind.SERVED, null, 0);
        }
        balancer.onAttemptOutcome(
                nowMicros,
                new AttemptOutcome(
                        request.id,
                        attempt.number,
                        attempt.server.id,
                        result,
                        nowMicros - attempt.startedAtMicros,
                        request.completed,
                        report));
        removeIfDone(request);
    }

    // ---- Methods that the load balancer's actions use

    /** Returns the open request with the id; null if no open request has the id. */
    ClientRequest openRequest(String requestId) {
        return openRequests.get(requestId);
    }

    List<ListedEndpoint> currentList() {
        return endpoints.list();
    }

    void onTimer(long token) {
        balancer.onTimer(events().now(), token);
    }

    /** Sends the final response of a request, unless the request is null or completed. */
    void finish(
            ClientRequest request,
            ResponseKind response,
            RejectionReason reason,
            long retryAfterMicros) {
        if (request == null || request.completed) {
            return;
        }
        request.completed = true;
        environment.deliverResponse(request, response, reason, retryAfterMicros);
        removeIfDone(request);
    }

    /**
     * Schedules an action after a delay. The action is dropped if the process has exited by then.
     */
    void scheduleAfter(long micros, Runnable action) {
        scheduleAt(events().now() + micros, action);
    }

    /**
     * Schedules an action for the given time. The action is dropped if the process has exited by
     * then.
     */
    void scheduleAt(long atMicros, Runnable action) {
        int scheduledBy = incarnation;
        Runnable guarded =
                () -> {
                    if (scheduledBy == incarnation) {
                        action.run();
                    }
                };
        events().scheduleAt(atMicros, guarded);
    }
}
