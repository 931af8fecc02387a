package sagefall.balancer;

import java.util.ArrayList;
import java.util.List;
import sagefall.balancer.api.AttemptOutcome;
import sagefall.balancer.api.AttemptResult;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.DeduplicationScope;
import sagefall.balancer.api.EndpointListKind;
import sagefall.balancer.api.EndpointPhase;
import sagefall.balancer.api.FleetRules;
import sagefall.balancer.api.Idempotency;
import sagefall.balancer.api.ListedEndpoint;
import sagefall.balancer.api.LoadReportSource;
import sagefall.balancer.api.RejectionReason;
import sagefall.balancer.api.Request;
import sagefall.balancer.api.RequestClass;
import sagefall.balancer.api.ServiceLimits;
import sagefall.balancer.api.Tenant;

/**
 * Records the actions of a balancer instance, and passes events to the instance. Does not model
 * servers: the tests choose the outcomes of attempts.
 */
final class RecordingActions implements BalancerActions {
    final List<String> actions = new ArrayList<>();
    final List<Sent> sent = new ArrayList<>();

    /** Scheduled timers, each with the time at which it fires and its token. */
    final List<long[]> timers = new ArrayList<>();

    final List<String> rejected = new ArrayList<>();
    final List<String> failed = new ArrayList<>();
    final List<RejectionReason> reasons = new ArrayList<>();
    final DefaultLoadBalancer balancer;
    long now = 1_000_000;

    record Sent(String request, long server, long at, long latestStartMicros) {}

    /**
     * Creates an instance with ready servers. The ids of the servers start at 1; the zones
     * alternate between 0 and 1.
     */
    RecordingActions(BalancerSettings settings, int servers) {
        balancer = new DefaultLoadBalancer(settings, this);
        List<ListedEndpoint> list = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            list.add(server(i + 1, i % 2, 0));
        }
        balancer.onEndpointList(now, EndpointListKind.COMPLETE, list);
    }

    /** Returns the list entry of a ready server. */
    static ListedEndpoint server(long id, int zone, long start) {
        return new ListedEndpoint(id, zone, 0, (int) id % 3, EndpointPhase.READY, start, 1);
    }

    /** Returns settings with one request class: latency target 200 ms, deadline 1 s. */
    static BalancerSettings settings(Idempotency idempotency, DeduplicationScope scope) {
        return new BalancerSettings(
                7,
                0,
                3,
                0,
                List.of("a", "b"),
                List.of(
                        new RequestClass(
                                "c", idempotency, scope, 500_000, 200_000, 1_000_000, 1, 0, false)),
                List.of(new Tenant("t", 0.5), new Tenant("u", 0.5)),
                0.2,
                new ServiceLimits(4, true, true, 1_000_000, 60_000_000, 100),
                new FleetRules(0.2, 10_000_000, 2_000_000, 10_000_000),
                LoadReportSource.NONE,
                false,
                false,
                1000);
    }

    /** Passes a request with a deadline in 1 s to the instance. */
    void request(String id) {
        balancer.onRequest(now, new Request(id, 0, 0, false, -1, now + 1_000_000, false));
    }

    /**
     * Advances the clock by the elapsed time, and ends the attempt that was sent last.
     *
     * @param attempt number of the ended attempt among the attempts of its request, from 0
     */
    void endLastAttempt(int attempt, AttemptResult result, long elapsed, boolean closed) {
        Sent last = sent.get(sent.size() - 1);
        now += elapsed;
        balancer.onAttemptOutcome(
                now,
                new AttemptOutcome(
                        last.request, attempt, last.server, result, elapsed, closed, null));
    }

    /** Fires all scheduled timers, and advances the clock to the latest of them. */
    void fireTimers() {
        List<long[]> due = new ArrayList<>(timers);
        timers.clear();
        for (long[] timer : due) {
            now = Math.max(now, timer[0]);
            balancer.onTimer(now, timer[1]);
        }
    }

    @Override
    public void send(String requestId, long server, long timeoutMicros, long latestStartMicros) {
        sent.add(new Sent(requestId, server, now, latestStartMicros));
        actions.add("send " + requestId + " " + server + " " + timeoutMicros);
    }

    @Override
    public void reject(String requestId, long retryAfterMicros, RejectionReason reason) {
        rejected.add(requestId);
        reasons.add(reason);
        actions.add("reject " + requestId);
    }

    @Override
    public void fail(String requestId, RejectionReason reason) {
        failed.add(requestId);
        reasons.add(reason);
        actions.add("fail " + requestId);
    }

    @Override
    public void cancel(String requestId, int attempt) {
        actions.add("cancel " + requestId + " " + attempt);
    }

    @Override
    public void scheduleTimer(long atMicros, long token) {
        timers.add(new long[] {atMicros, token});
    }

    @Override
    public void closeIdleConnections(long server) {
        actions.add("close " + server);
    }

    @Override
    public void requestEndpointUpdates() {
        actions.add("poll");
    }

    @Override
    public void log(String line) {
        actions.add("log " + line);
    }
}
