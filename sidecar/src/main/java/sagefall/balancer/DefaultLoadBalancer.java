package sagefall.balancer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import sagefall.balancer.admission.AdmissionController;
import sagefall.balancer.admission.RequestQueue;
import sagefall.balancer.admission.RetryBudget;
import sagefall.balancer.admission.ZoneConcurrencyLimit;
import sagefall.balancer.api.AttemptOutcome;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.EndpointListKind;
import sagefall.balancer.api.EndpointPhase;
import sagefall.balancer.api.ListedEndpoint;
import sagefall.balancer.api.LoadBalancer;
import sagefall.balancer.api.RejectionReason;
import sagefall.balancer.api.Request;
import sagefall.balancer.health.Endpoint;
import sagefall.balancer.health.EndpointHealth;
import sagefall.balancer.request.Attempt;
import sagefall.balancer.request.PendingRequest;
import sagefall.balancer.routing.EndpointPicker;
import sagefall.balancer.routing.SubsetTree;

/**
 * The balancer: a request's way from its arrival to its one answer. {@link SubsetTree} and {@link
 * EndpointPicker} say where it goes, {@link EndpointHealth} and {@link RecoveredEndpoints} what is
 * known of the servers, {@link AdmissionController}, {@link ZoneConcurrencyLimit} and {@link
 * RetryBudget} how much is let in and sent again, {@link RequestQueue} who waits.
 *
 * <p>Ordinary path: a request walks from the node {its zone, its tenant's cell} and takes the
 * cheaper of two ready servers by peak-EWMA latency x (1 + in-flight). Each exception says when it
 * acts.
 */
public final class DefaultLoadBalancer implements LoadBalancer {

    /**
     * List lines that discovery is taken to send all instances in the time within which each must
     * ask.
     */
    private static final double LIST_LINES = 8000;

    /** Mean time until an agent is asked again, in microseconds. */
    private static final double AGENT_WAIT = 100_000;

    /** Mean time until a service that failed is asked again, in microseconds. */
    private static final double SERVICE_WAIT = 400_000;

    /** Latest first call of a service, in microseconds. */
    private static final double FIRST_CALL = 3_000_000;

    /** Kind of the timer of a held request, in the low bits of its token. */
    private static final int HELD = 0;

    /** Kind of the timer for the next call of discovery, in the low bits of its token. */
    private static final int ASK = 1;

    /** Number of kinds of timer. */
    private static final int TIMER_KINDS = 2;

    private final BalancerSettings settings;
    private final BalancerActions actions;
    private final SplittableRandom random;
    private final double aimMicros;
    private final SubsetTree tree;
    private final AdmissionController admission;
    private final EndpointHealth health;
    private final EndpointPicker pick;
    private final RetryBudget budget;
    private final RequestQueue waiting;
    private final Map<Long, Endpoint> backends = new LinkedHashMap<>();
    private final Map<String, PendingRequest> requests = new HashMap<>();
    private final Map<Long, PendingRequest> timers = new HashMap<>();
    private long lastToken;
    private long sheddingLoggedAt;

    /** Buffers of the requests in hand that stream. */
    private long buffered;

    /** The bound on the buffers of the requests in hand that stream. */
    private long mostBuffered = Long.MAX_VALUE;

    private int askFailures;
    private RecoveredEndpoints belief = RecoveredEndpoints.NONE;

    public DefaultLoadBalancer(BalancerSettings settings, BalancerActions actions) {
        this.settings = settings;
        this.actions = actions;
        random = new SplittableRandom(settings.seed());
        aimMicros = settings.meanTargetLatencyMicros();
        tree = new SubsetTree(settings);
        admission = new AdmissionController(settings);
        health = new EndpointHealth(settings, actions, random, tree, admission);
        pick = new EndpointPicker(settings, random, tree, health, admission);
        budget = new RetryBudget();
        waiting = new RequestQueue(settings, admission, health, new ArrayList<>());
    }

    // ---- Lists

    @Override
    public void onRecoveredEndpoints(
            long now, long revision, boolean fresh, List<ListedEndpoint> list) {
        belief = RecoveredEndpoints.of(revision, fresh, list);
    }

    @Override
    public void onEndpointList(
            long now, EndpointListKind kind, long revision, List<ListedEndpoint> told) {
        List<ListedEndpoint> list = belief.told(kind, revision, told);
        if (settings.pollsDiscovery() && kind == EndpointListKind.CACHED) {
            // All sidecars of a fleet may start at once, and discovery sends only so many lines a
            // second.
            double spread = Math.min(0.8, list.size() * (double) settings.replicas() / LIST_LINES);
            double most = Math.min(FIRST_CALL, spread * settings.rules().pollIntervalMicros());
            long wait = (long) most + 20 * settings.tickMicros();
            later(now + random.nextLong(1 + wait), ASK, null);
        }
        if (kind == EndpointListKind.FAILED) {
            // Keep the list; ask again soon: the rule on drains counts from when discovery can be
            // reached.
            double wait = settings.pollsDiscovery() ? SERVICE_WAIT : AGENT_WAIT;
            later(now + 1 + (long) (wait * (0.5 + random.nextDouble())), ASK, null);
            if (askFailures++ == 0)
                actions.log("discovery failed: " + tree.ready.size() + " servers stay");
            return;
        }
        askFailures = 0;
        boolean changed = tree.ready.isEmpty();
        admission.started(now);
        if (kind != EndpointListKind.CHANGES) for (Endpoint b : backends.values()) b.listed = false;
        for (ListedEndpoint line : list) {
            Endpoint b = backends.get(line.id());
            if (b == null || b.line.startMicros() != line.startMicros()) b = anew(line.id(), b);
            boolean usable =
                    line.phase() == EndpointPhase.READY && (b.usable || revision >= b.revision);
            b.revision = Math.max(b.revision, revision);
            changed |= usable != b.usable || b.line == null || b.line.zone() != line.zone();
            b.line = line;
            b.usable = usable;
            b.listed = line.phase() != EndpointPhase.REMOVED;
        }
        for (var all = backends.values().iterator(); all.hasNext(); ) {
            Endpoint b = all.next();
            if (b.listed) continue;
            changed |= b.usable;
            b.usable = false;
            health.close(b);
            if (b.out.isEmpty()) all.remove();
        }
        if (changed) tree.rebuild(backends.values());
        pump(now);
    }

    /** A new id or start time is a new process: nothing learned of an old one holds. */
    private Endpoint anew(long id, Endpoint old) {
        if (old != null) {
            health.close(old);
            old.usable = false;
        }
        Endpoint fresh = new Endpoint(id, settings.rank());
        backends.put(id, fresh);
        return fresh;
    }

    // ---- Requests

    @Override
    public void onRequest(long now, Request request) {
        PendingRequest p =
                new PendingRequest(
                        now, request, settings.classes(), Math.max(1, settings.tenants().size()));
        if (requests.putIfAbsent(request.id(), p) != null) return;
        buffered += request.bufferBytes();
        p.luck = random.nextLong();
        admission.countShare(p);
        p.cell = tree.cell(p, random);
        budget.taken(admission.admitted);
        admission.taken(now);
        health.watch(now);
        if (requests.size() > settings.limits().maxOpenRequests())
            end(waiting.least(p), RejectionReason.OPEN_REQUESTS);
        if (p.over) return;
        if (request.bufferBytes() > 0 && buffered > mostBuffered) {
            // Those that stream already go on; a new one is told at once when to come back.
            end(p, RejectionReason.BUFFER_LIMIT);
        } else if (request.deadlineMicros() - now <= aimMicros / 20 + 2 * settings.tickMicros()) {
            // No time is left for a timer (incident i0f9bed: an arrival at its own deadline).
            end(p, RejectionReason.TOO_LATE);
        } else if (tree.sparse && admission.refuses(p, random.nextDouble())) {
            end(p, RejectionReason.ADMISSION);
        } else admit(now, p);
    }

    /** Sends the request, or holds it in the queue. */
    private void admit(long now, PendingRequest p) {
        if (p.over || p.queued) return;
        waiting.add(p);
        pump(now);
        if (!p.queued) return;
        if (health.anyZoneFull()) {
            // The others have no server to offer: whoever waits would be late, and make others
            // late.
            end(p, RejectionReason.ZONE_FULL);
            return;
        }
        later(waiting.lookAgain(now, p, requests.size()), HELD, p);
        if (now - sheddingLoggedAt < 10 * aimMicros) return;
        sheddingLoggedAt = now;
        actions.log("holding: " + waiting.held().size() + " requests wait, no server has room");
    }

    /** Serves the queue while servers have room. */
    private void pump(long now) {
        for (PendingRequest next; (next = waiting.next()) != null; ) {
            Endpoint server = pick.choose(now, next);
            if (server == null) return;
            waiting.remove(next);
            send(now, next, server);
        }
    }

    // ---- The gate: every attempt goes through here

    /**
     * The single place of sending. The checks repeat what the pick has seen, so no path can pass
     * them by.
     */
    private void send(long now, PendingRequest p, Endpoint b) {
        long left = p.deadline - now;
        if (p.over
                || p.streaming
                || p.spent
                || !b.usable
                || p.out > 0
                || left <= 0
                || !p.mayRunOn(now, b, settings.tickMicros())
                || p.attempts.size() >= Math.max(1, settings.limits().maxAttempts())
                || (!p.attempts.isEmpty() && !budget.allows())) {
            if (!p.over && p.out == 0) end(p, whyNot(now, p));
            return;
        }
        Attempt a = new Attempt(p, b, now, health.usual(p), health.warm(now, b));
        if (a.fresh && b.opened && b.out.size() == 0) {
            b.opened = false;
            b.usedAt = 0;
            actions.closeIdleConnections(b.id);
        }
        if (a.number > 0) budget.spent();
        long latest = p.lastSend(settings.tickMicros());
        // Before a body's last byte a server has nothing to do: neither work in flight nor silence
        // counts.
        if (!p.uploading) health.owed(now, a);
        p.attempts.add(a);
        p.out++;
        actions.send(p.request.id(), b.id, 0, latest);
    }

    /** The single place where this instance ends a request. */
    private void end(PendingRequest p, RejectionReason why) {
        if (p.mayRefuse()) {
            double stay =
                    settings.limits().retryAfterAllowed()
                            ? aimMicros * (1 + random.nextDouble()) / 4
                            : 0;
            long most = settings.limits().maxRetryAfterMicros();
            actions.reject(p.request.id(), Math.min((long) stay, most), why);
        } else {
            actions.fail(p.request.id(), why);
        }
        over(p);
    }

    /** The request has its final answer, whoever gave it: what is still out is called off. */
    private void over(PendingRequest p) {
        if (p.over) return;
        p.over = true;
        waiting.remove(p);
        boolean cancel = settings.limits().cancellationAllowed();
        for (Attempt a : p.attempts)
            if (cancel && a.result == null) actions.cancel(p.request.id(), a.number);
        forget(p);
    }

    /** A request is kept until the last of its attempts has ended. */
    private void forget(PendingRequest p) {
        if (p.over && p.out == 0 && requests.remove(p.request.id(), p))
            buffered -= p.request.bufferBytes();
    }

    // ---- What comes back

    @Override
    public void onAttemptOutcome(long now, AttemptOutcome o) {
        PendingRequest p = requests.get(o.requestId());
        if (p == null || o.attempt() < 0 || o.attempt() >= p.attempts.size()) return;
        Attempt a = p.attempts.get(o.attempt());
        if (a.result != null) return;
        a.result = o.result();
        p.out--;
        health.settled(a);
        if (a.streams) health.streamed(now, a, o);
        else health.learn(now, a, o);
        if (o.closed()) {
            over(p);
        } else if (!p.over && p.out == 0 && !p.queued) again(now, p);
        forget(p);
        pump(now);
    }

    /**
     * A further attempt, if effect, cap, retry budget, body and the time left allow it; else the
     * end.
     */
    private void again(long now, PendingRequest p) {
        boolean sensible =
                now < waiting.lastUseful(p, requests.size()) && budget.allows() && !p.spent;
        if (sensible && p.mayRepeat() && p.attempts.size() < settings.limits().maxAttempts())
            admit(now, p);
        else end(p, whyNot(now, p));
    }

    /** What keeps a request from a further attempt. */
    private RejectionReason whyNot(long now, PendingRequest p) {
        if (p.spent || !p.mayRepeat()) return RejectionReason.NOT_RETRYABLE;
        if (p.attempts.size() >= settings.limits().maxAttempts())
            return RejectionReason.MAX_ATTEMPTS;
        boolean late = now >= waiting.lastUseful(p, requests.size()) || budget.allows();
        return late ? RejectionReason.TOO_LATE : RejectionReason.RETRY_BUDGET;
    }

    // ---- Other events

    @Override
    public void onBufferLimit(long now, long mostBytes) {
        mostBuffered = mostBytes;
    }

    @Override
    public void onUploadComplete(long now, String requestId, long deadlineMicros) {
        PendingRequest p = requests.get(requestId);
        if (p == null || !p.uploading) return;
        p.uploading = false;
        p.deadline = deadlineMicros;
        p.aimAt += now - p.arrivedAt;
        p.arrivedAt = now;
        if (p.out > 0) health.owed(now, p.attempts.get(p.attempts.size() - 1));
    }

    @Override
    public void onReplayBufferExceeded(long now, String requestId) {
        PendingRequest p = requests.get(requestId);
        if (p != null) p.spent = true;
    }

    @Override
    public void onStreamStarted(
            long now, String requestId, int attempt, long server, long elapsedMicros) {
        PendingRequest p = requests.get(requestId);
        if (p == null || p.streaming || attempt < 0 || attempt >= p.attempts.size()) return;
        Attempt a = p.attempts.get(attempt);
        if (a.result != null) return;
        p.streaming = true;
        a.streams = true;
        health.settled(a);
        health.served(now, a, elapsedMicros);
        pump(now);
    }

    @Override
    public void onClientDisconnected(long now, String requestId) {
        PendingRequest p = requests.get(requestId);
        if (p != null) over(p);
    }

    private void later(long at, int kind, PendingRequest p) {
        long token = ++lastToken * TIMER_KINDS + kind;
        if (p != null) timers.put(token, p);
        actions.scheduleTimer(at, token);
    }

    @Override
    public void onTimer(long now, long token) {
        if (token % TIMER_KINDS == ASK) actions.requestEndpointUpdates();
        PendingRequest p = timers.remove(token);
        if (p == null || p.over || p.streaming) return;
        boolean waited = now >= waiting.lastUseful(p, requests.size());
        if (p.queued && (waited || health.anyZoneFull())) {
            end(p, waited ? RejectionReason.QUEUE_TIMEOUT : RejectionReason.ZONE_FULL);
        } else if (p.queued) {
            later(waiting.lookAgain(now, p, requests.size()), HELD, p);
            pump(now);
        }
    }
}
