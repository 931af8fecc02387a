package sagefall.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import sagefall.balancer.api.AttemptOutcome;
import sagefall.balancer.api.AttemptResult;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.EndpointListKind;
import sagefall.balancer.api.EndpointPhase;
import sagefall.balancer.api.ListedEndpoint;
import sagefall.balancer.api.LoadBalancer;
import sagefall.balancer.api.RejectionReason;
import sagefall.balancer.api.Request;

/**
 * Base class of the baseline policies. The policies differ only in how they pick a server. This
 * class keeps the endpoint list and has at most one attempt of a request in flight. A request is
 * retried only if the outcome of its attempt proves that the request was not executed. A request
 * that cannot be sent is rejected immediately.
 */
abstract class BaselineBalancer implements LoadBalancer {

    /**
     * An attempt is sent only if more than this number of clock ticks remain until the deadline.
     */
    private static final int MIN_TICKS_TO_DEADLINE = 2;

    /** A request that has not completed, or that has an attempt in flight. */
    private static final class Pending {
        final Request request;

        /** Servers that the request has been sent to, indexed by attempt number. */
        final List<BaselineEndpoint> attempted = new ArrayList<>(1);

        Pending(Request request) {
            this.request = request;
        }
    }

    final BalancerSettings settings;
    final SplittableRandom random;
    private final BalancerActions actions;
    private final Map<Long, BaselineEndpoint> endpoints = new HashMap<>();
    private final Map<String, Pending> pendingRequests = new HashMap<>();
    private List<BaselineEndpoint> readyEndpoints = List.of();

    BaselineBalancer(BalancerSettings settings, BalancerActions actions) {
        this.settings = settings;
        this.actions = actions;
        random = new SplittableRandom(settings.seed());
    }

    /**
     * Picks the server for the next attempt of a request.
     *
     * @param candidates ready servers to which the request has not been sent yet; not empty
     * @return the server; null to reject the request
     */
    abstract BaselineEndpoint pick(Request request, List<BaselineEndpoint> candidates);

    /** Handles the end of an attempt; a subclass overrides this to update its estimates. */
    void onAttemptEnded(
            long nowMicros, BaselineEndpoint endpoint, long elapsedMicros, boolean served) {}

    @Override
    public void onEndpointList(
            long nowMicros, EndpointListKind kind, long revision, List<ListedEndpoint> list) {
        if (kind == EndpointListKind.FAILED) {
            return;
        }
        // A complete or cached list removes all endpoints that it does not contain.
        Deque<BaselineEndpoint> removed = new ArrayDeque<>();
        if (kind != EndpointListKind.CHANGES) {
            removed.addAll(endpoints.values());
        }
        for (ListedEndpoint listed : list) {
            BaselineEndpoint endpoint =
                    endpoints.computeIfAbsent(listed.id(), id -> new BaselineEndpoint(listed));
            endpoint.listed = listed;
            removed.remove(endpoint);
            if (listed.phase() == EndpointPhase.REMOVED) {
                removed.add(endpoint);
            }
        }
        removed.forEach(endpoint -> endpoints.remove(endpoint.id));
        readyEndpoints =
                endpoints.values().stream()
                        .filter(endpoint -> endpoint.listed.phase() == EndpointPhase.READY)
                        .sorted((a, b) -> Long.compare(a.id, b.id))
                        .toList();
    }

    @Override
    public void onRequest(long nowMicros, Request request) {
        Pending pending = new Pending(request);
        pendingRequests.put(request.id(), pending);
        sendOrReject(nowMicros, pending, RejectionReason.TOO_LATE);
    }

    private void sendOrReject(long nowMicros, Pending pending, RejectionReason reason) {
        Request request = pending.request;
        List<BaselineEndpoint> candidates = readyEndpoints;
        if (!pending.attempted.isEmpty()) {
            candidates =
                    readyEndpoints.stream()
                            .filter(endpoint -> !pending.attempted.contains(endpoint))
                            .toList();
        }
        boolean beforeDeadline =
                request.deadlineMicros() - nowMicros
                        > MIN_TICKS_TO_DEADLINE * settings.tickMicros();
        BaselineEndpoint endpoint =
                candidates.isEmpty() || !beforeDeadline ? null : pick(request, candidates);
        if (endpoint == null || pending.attempted.size() >= settings.limits().maxAttempts()) {
            pendingRequests.remove(request.id());
            actions.reject(request.id(), 0, reason);
            return;
        }
        pending.attempted.add(endpoint);
        endpoint.inFlight++;
        actions.send(request.id(), endpoint.id, 0, Long.MAX_VALUE);
    }

    @Override
    public void onAttemptOutcome(long nowMicros, AttemptOutcome outcome) {
        Pending pending = pendingRequests.get(outcome.requestId());
        if (pending == null) {
            return;
        }
        BaselineEndpoint endpoint = pending.attempted.get(outcome.attempt());
        endpoint.inFlight--;
        boolean served = outcome.result() == AttemptResult.SERVED;
        onAttemptEnded(nowMicros, endpoint, outcome.elapsedMicros(), served);
        if (outcome.closed()) {
            pendingRequests.remove(outcome.requestId());
        } else if (outcome.result().provesNotExecuted) {
            sendOrReject(nowMicros, pending, RejectionReason.MAX_ATTEMPTS);
        } else {
            pendingRequests.remove(outcome.requestId());
            actions.fail(outcome.requestId(), RejectionReason.NOT_RETRYABLE);
        }
    }

    /**
     * Removes the request of a disconnected client. A request that has been sent is kept until its
     * attempt ends, so that the number of attempts in flight stays correct.
     */
    @Override
    public void onClientDisconnected(long nowMicros, String requestId) {
        Pending pending = pendingRequests.get(requestId);
        if (pending != null && pending.attempted.isEmpty()) {
            pendingRequests.remove(requestId);
        }
    }

    @Override
    public void onBufferLimit(long nowMicros, long maxBytes) {}

    @Override
    public void onUploadComplete(long nowMicros, String requestId, long deadlineMicros) {}

    @Override
    public void onReplayBufferExceeded(long nowMicros, String requestId) {}

    @Override
    public void onStreamStarted(
            long nowMicros, String requestId, int attempt, long server, long elapsedMicros) {}

    @Override
    public void onTimer(long nowMicros, long token) {}
}
