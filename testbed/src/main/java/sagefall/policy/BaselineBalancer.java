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
 * What the baselines share: the endpoint list, one attempt at a time, another one only where
 * nothing has been executed, and an answer at once to what cannot be sent. They differ in the pick
 * alone.
 */
abstract class BaselineBalancer implements LoadBalancer {

    /** Of a request so near to its deadline, in ticks, no attempt is made. */
    private static final int MIN_TICKS_LEFT = 2;

    private static final class Pending {
        final Request request;
        final List<BaselineEndpoint> attempted = new ArrayList<>(1);

        Pending(Request request) {
            this.request = request;
        }
    }

    final BalancerSettings settings;
    final SplittableRandom random;
    private final BalancerActions actions;
    private final Map<Long, BaselineEndpoint> endpoints = new HashMap<>();
    private final Map<String, Pending> requests = new HashMap<>();
    private List<BaselineEndpoint> ready = List.of();

    BaselineBalancer(BalancerSettings settings, BalancerActions actions) {
        this.settings = settings;
        this.actions = actions;
        random = new SplittableRandom(settings.seed());
    }

    /**
     * Picks a server.
     *
     * @param candidates ready servers without an attempt of this request, at least one
     * @return null to reject the request
     */
    abstract BaselineEndpoint pick(Request request, List<BaselineEndpoint> candidates);

    /** An attempt has ended. */
    void learn(long nowMicros, BaselineEndpoint endpoint, long elapsedMicros, boolean served) {}

    @Override
    public void onEndpointList(
            long nowMicros, EndpointListKind kind, long revision, List<ListedEndpoint> list) {
        if (kind == EndpointListKind.FAILED) {
            return;
        }
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
        ready =
                endpoints.values().stream()
                        .filter(endpoint -> endpoint.listed.phase() == EndpointPhase.READY)
                        .sorted((a, b) -> Long.compare(a.id, b.id))
                        .toList();
    }

    @Override
    public void onRequest(long nowMicros, Request request) {
        Pending pending = new Pending(request);
        requests.put(request.id(), pending);
        sendOrReject(nowMicros, pending, RejectionReason.TOO_LATE);
    }

    private void sendOrReject(long nowMicros, Pending pending, RejectionReason reason) {
        Request request = pending.request;
        List<BaselineEndpoint> candidates = ready;
        if (!pending.attempted.isEmpty()) {
            candidates =
                    ready.stream()
                            .filter(endpoint -> !pending.attempted.contains(endpoint))
                            .toList();
        }
        boolean inTime =
                request.deadlineMicros() - nowMicros > MIN_TICKS_LEFT * settings.tickMicros();
        BaselineEndpoint endpoint =
                candidates.isEmpty() || !inTime ? null : pick(request, candidates);
        if (endpoint == null || pending.attempted.size() >= settings.limits().maxAttempts()) {
            requests.remove(request.id());
            actions.reject(request.id(), 0, reason);
            return;
        }
        pending.attempted.add(endpoint);
        endpoint.inFlight++;
        actions.send(request.id(), endpoint.id, 0, Long.MAX_VALUE);
    }

    @Override
    public void onAttemptOutcome(long nowMicros, AttemptOutcome outcome) {
        Pending pending = requests.get(outcome.requestId());
        if (pending == null) {
            return;
        }
        BaselineEndpoint endpoint = pending.attempted.get(outcome.attempt());
        endpoint.inFlight--;
        boolean served = outcome.result() == AttemptResult.SERVED;
        learn(nowMicros, endpoint, outcome.elapsedMicros(), served);
        if (outcome.closed()) {
            requests.remove(outcome.requestId());
        } else if (outcome.result().provesNotExecuted) {
            sendOrReject(nowMicros, pending, RejectionReason.MAX_ATTEMPTS);
        } else {
            requests.remove(outcome.requestId());
            actions.fail(outcome.requestId(), RejectionReason.NOT_RETRYABLE);
        }
    }

    /** Stays until its attempt has ended, so that the count of attempts in flight is right. */
    @Override
    public void onClientDisconnected(long nowMicros, String requestId) {
        Pending pending = requests.get(requestId);
        if (pending != null && pending.attempted.isEmpty()) {
            requests.remove(requestId);
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
