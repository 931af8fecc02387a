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
 * What the textbook policies share: the list, one attempt at a time, another one only where nothing
 * has run, and an answer at once to what can't be sent. They differ in the pick alone.
 */
abstract class BaselinePolicy implements LoadBalancer {

    /** A server as such a policy knows it. */
    static final class Known {
        final long id;
        ListedEndpoint line;
        int out;
        double latency = Double.NaN;
        long sampledAt;

        Known(ListedEndpoint line) {
            this.id = line.id();
            this.line = line;
        }
    }

    private static final class Pending {
        final Request request;
        final List<Known> tried = new ArrayList<>(1);

        Pending(Request request) {
            this.request = request;
        }
    }

    final BalancerSettings settings;
    final SplittableRandom random;
    private final BalancerActions actions;
    private final Map<Long, Known> known = new HashMap<>();
    private final Map<String, Pending> requests = new HashMap<>();
    private List<Known> ready = List.of();

    BaselinePolicy(BalancerSettings settings, BalancerActions actions) {
        this.settings = settings;
        this.actions = actions;
        random = new SplittableRandom(settings.seed());
    }

    /** One of the ready servers, none of them tried before; null to give the request up. */
    abstract Known pick(long now, Request request, List<Known> ready);

    /** An answer of a server. */
    void learn(long now, Known server, long micros, boolean served) {}

    @Override
    public void onEndpointList(
            long now, EndpointListKind kind, long revision, List<ListedEndpoint> list) {
        if (kind == EndpointListKind.FAILED) {
            return;
        }
        Deque<Known> gone = new ArrayDeque<>();
        if (kind != EndpointListKind.CHANGES) {
            gone.addAll(known.values());
        }
        for (ListedEndpoint line : list) {
            Known server = known.computeIfAbsent(line.id(), id -> new Known(line));
            server.line = line;
            gone.remove(server);
            if (line.phase() == EndpointPhase.REMOVED) {
                gone.add(server);
            }
        }
        gone.forEach(server -> known.remove(server.id));
        ready =
                known.values().stream()
                        .filter(s -> s.line.phase() == EndpointPhase.READY)
                        .sorted((a, b) -> Long.compare(a.id, b.id))
                        .toList();
    }

    @Override
    public void onRequest(long now, Request request) {
        Pending p = new Pending(request);
        requests.put(request.id(), p);
        send(now, p, RejectionReason.TOO_LATE);
    }

    private void send(long now, Pending p, RejectionReason otherwise) {
        List<Known> left = ready;
        if (!p.tried.isEmpty()) {
            left = ready.stream().filter(s -> !p.tried.contains(s)).toList();
        }
        boolean time = p.request.deadlineMicros() - now > 2 * settings.tickMicros();
        Known server = left.isEmpty() || !time ? null : pick(now, p.request, left);
        if (server == null || p.tried.size() >= settings.limits().maxAttempts()) {
            requests.remove(p.request.id());
            actions.reject(p.request.id(), 0, otherwise);
            return;
        }
        p.tried.add(server);
        server.out++;
        actions.send(p.request.id(), server.id, 0, Long.MAX_VALUE);
    }

    @Override
    public void onAttemptOutcome(long now, AttemptOutcome o) {
        Pending p = requests.get(o.requestId());
        if (p == null) {
            return;
        }
        Known server = p.tried.get(o.attempt());
        server.out--;
        learn(now, server, o.elapsedMicros(), o.result() == AttemptResult.SERVED);
        if (o.closed()) {
            requests.remove(o.requestId());
        } else if (o.result().provesNotRun) {
            send(now, p, RejectionReason.MAX_ATTEMPTS);
        } else {
            requests.remove(o.requestId());
            actions.fail(o.requestId(), RejectionReason.NOT_RETRYABLE);
        }
    }

    /** Kept until its attempt has ended, so that the count of what is out stays right. */
    @Override
    public void onClientDisconnected(long now, String requestId) {
        Pending p = requests.get(requestId);
        if (p != null && p.tried.isEmpty()) {
            requests.remove(requestId);
        }
    }

    @Override
    public void onBufferLimit(long now, long mostBytes) {}

    @Override
    public void onUploadComplete(long now, String requestId, long deadlineMicros) {}

    @Override
    public void onReplayBufferExceeded(long now, String requestId) {}

    @Override
    public void onStreamStarted(
            long now, String requestId, int attempt, long server, long elapsedMicros) {}

    @Override
    public void onTimer(long now, long token) {}
}
