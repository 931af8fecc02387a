package sagefall.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.junit.jupiter.api.Test;
import sagefall.balancer.api.AttemptOutcome;
import sagefall.balancer.api.AttemptResult;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.DeduplicationScope;
import sagefall.balancer.api.Idempotency;
import sagefall.balancer.api.LoadReport;
import sagefall.balancer.api.LoadReportSource;
import sagefall.balancer.api.ServiceLimits;

/**
 * Checks a fleet of instances without shared state under overload, below its capacity, and with a
 * failing server. The simulated servers queue and run every attempt, even after the timeout of the
 * attempt.
 */
class FleetOverloadTest {

    private static final int SIDECARS = 14;
    private static final int SERVERS = 40;
    private static final long SERVICE_MICROS = 40_000;
    private static final long LATENCY_TARGET_MICROS = 200_000;

    private record Event(long at, int instance, AttemptOutcome outcome) {}

    private final List<RecordingActions> fleet = new ArrayList<>();
    private final PriorityQueue<Event> pendingOutcomes =
            new PriorityQueue<>(Comparator.comparingLong(Event::at));

    /** End times of the attempts that are queued or running at each server, by server id. */
    private final Map<Long, ArrayDeque<Long>> queues = new HashMap<>();

    private int responsesInTime;

    private void startFleet() {
        BalancerSettings defaults =
                RecordingActions.settings(Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ZONE);
        for (int i = 0; i < SIDECARS; i++) {
            fleet.add(
                    new RecordingActions(
                            new SettingsBuilder(defaults)
                                    .seed(1000 + i)
                                    .rank(i)
                                    .replicas(SIDECARS)
                                    .zone(i % 2)
                                    .limits(
                                            new ServiceLimits(
                                                    4, true, true, 1_000_000, 60_000_000, 10_000))
                                    .loadReportSource(LoadReportSource.ANSWERS)
                                    .build(),
                            SERVERS));
        }
    }

    /**
     * Sends requests to the instances in turn. Returns the number of responses within the latency
     * target. Each server serves at most 25 requests per second, since one request takes 40 ms.
     */
    private int sendRequests(long from, long until, int perSecond) {
        responsesInTime = 0;
        int number = 0;
        for (long at = from; at < until; at += 1_000_000 / perSecond) {
            deliverOutcomesUntil(at);
            int instance = number++ % SIDECARS;
            RecordingActions host = fleet.get(instance);
            int before = host.sent.size();
            host.now = at;
            host.request("r" + at);
            queueAttempts(instance, before);
        }
        deliverOutcomesUntil(until);
        return responsesInTime;
    }

    /**
     * Queues attempts of an instance at their servers, and schedules their outcomes.
     *
     * @param firstAttempt index of the first of these attempts in the list of all attempts that the
     *     instance has sent
     */
    private void queueAttempts(int instance, int firstAttempt) {
        RecordingActions host = fleet.get(instance);
        for (RecordingActions.Sent sent : host.sent.subList(firstAttempt, host.sent.size())) {
            ArrayDeque<Long> queue =
                    queues.computeIfAbsent(sent.server(), id -> new ArrayDeque<>());
            queue.removeIf(end -> end <= sent.at());
            long end = Math.max(sent.at(), queue.isEmpty() ? 0 : queue.peekLast()) + SERVICE_MICROS;
            queue.addLast(end);
            double utilization = Math.min(1, queue.size() / 2.0);
            long elapsed = Math.min(end - sent.at(), 1_000_000);
            pendingOutcomes.add(
                    new Event(
                            sent.at() + elapsed,
                            instance,
                            new AttemptOutcome(
                                    sent.request(),
                                    0,
                                    sent.server(),
                                    end - sent.at() > elapsed
                                            ? AttemptResult.TIMED_OUT
                                            : AttemptResult.SERVED,
                                    elapsed,
                                    end - sent.at() <= elapsed,
                                    new LoadReport(
                                            Double.NaN, Double.NaN, utilization, 40, 25, 0))));
        }
    }

    private void deliverOutcomesUntil(long until) {
        while (!pendingOutcomes.isEmpty() && pendingOutcomes.peek().at() <= until) {
            Event event = pendingOutcomes.poll();
            RecordingActions host = fleet.get(event.instance());
            int before = host.sent.size();
            host.now = event.at();
            host.balancer.onAttemptOutcome(event.at(), event.outcome());
            responsesInTime +=
                    event.outcome().result() == AttemptResult.SERVED
                                    && event.outcome().elapsedMicros() <= LATENCY_TARGET_MICROS
                            ? 1
                            : 0;
            queueAttempts(event.instance(), before);
        }
    }

    /**
     * After half of the servers of a fleet have failed, each sidecar still sends each remaining
     * server only about one request per second. That rate reaches no limit that a sidecar applies
     * to a single server. So requests used to queue at the servers up to their deadlines, and
     * hardly any response was in time. This test raises the request rate to twice the capacity
     * instead of stopping servers.
     */
    @Test
    void fleetAtTwiceItsCapacityServesMostOfItsCapacityInTime() {
        startFleet();
        int capacity = (int) (SERVERS * 1_000_000 / SERVICE_MICROS);
        sendRequests(1_000_000, 6_000_000, capacity / 2);
        sendRequests(6_000_000, 9_000_000, 2 * capacity);
        int served = sendRequests(9_000_000, 14_000_000, 2 * capacity);
        assertTrue(
                served > 0.6 * 5 * capacity,
                served + " responses in time of " + 5 * capacity + " possible");
    }

    @Test
    void requestsBeyondCapacityOfAnOverloadedZoneAreRejectedAtOnce() {
        startFleet();
        int capacity = (int) (SERVERS * 1_000_000 / SERVICE_MICROS);
        sendRequests(1_000_000, 9_000_000, 2 * capacity);
        RecordingActions host = fleet.get(0);
        int rejected = host.rejected.size();
        for (int i = 0; i < 100; i++) {
            host.request("at once " + i);
        }
        assertTrue(
                host.rejected.size() > rejected + 20,
                "rejected " + (host.rejected.size() - rejected));
        assertEquals(
                100,
                host.rejected.size()
                        - rejected
                        + host.sent.stream()
                                .filter(sent -> sent.request().startsWith("at once"))
                                .count(),
                "each request is sent or rejected at once");
    }

    /**
     * The ratio of the latency to the latency target used to be computed in integers. So only
     * responses slower than the whole latency target were treated as slow.
     */
    @Test
    void responsesSlowerThanHalfOfTheLatencyTargetCutTheLimitOfABusyZone() {
        startFleet();
        RecordingActions host = fleet.get(0);
        LoadReport busy = new LoadReport(Double.NaN, Double.NaN, 0.95, 40, 25, 0);
        for (int i = 0; i < 60; i++) {
            host.request("a" + i);
            RecordingActions.Sent last = host.sent.get(host.sent.size() - 1);
            host.now += LATENCY_TARGET_MICROS * 6 / 10;
            host.balancer.onAttemptOutcome(
                    host.now,
                    new AttemptOutcome(
                            last.request(),
                            0,
                            last.server(),
                            AttemptResult.SERVED,
                            LATENCY_TARGET_MICROS * 6 / 10,
                            true,
                            busy));
        }
        for (int i = 0; i < 40; i++) {
            host.request("b" + i);
        }
        assertTrue(host.rejected.size() > 10, "rejected " + host.rejected.size());
    }

    /**
     * A sidecar of a large fleet sends each server only few requests, so its connection to the
     * server has been idle for long before each request. An error response on such a connection
     * must be treated as a failure of the server.
     */
    @Test
    void errorsOfASeldomUsedServerMoveItsTrafficToOtherServers() {
        startFleet();
        RecordingActions host = fleet.get(0);
        int errors = 0;
        for (int i = 0; i < 3000; i++) {
            host.now += 20_000;
            int sent = host.sent.size();
            host.request("r" + i);
            RecordingActions.Sent last = host.sent.get(host.sent.size() - 1);
            assertEquals(sent + 1, host.sent.size());
            boolean failing = last.server() == 1 && i >= 1000;
            errors += failing ? 1 : 0;
            host.balancer.onAttemptOutcome(
                    host.now,
                    new AttemptOutcome(
                            last.request(),
                            0,
                            last.server(),
                            failing ? AttemptResult.ERROR : AttemptResult.SERVED,
                            1000,
                            !failing,
                            null));
            if (failing && host.sent.size() > sent + 1) {
                RecordingActions.Sent retry = host.sent.get(host.sent.size() - 1);
                host.balancer.onAttemptOutcome(
                        host.now,
                        new AttemptOutcome(
                                retry.request(),
                                1,
                                retry.server(),
                                AttemptResult.SERVED,
                                1000,
                                true,
                                null));
            }
        }
        assertTrue(errors > 0 && errors < 30, "errors received: " + errors);
    }

    /** Sends requests at half of the capacity of the fleet. */
    @Test
    void fleetBelowItsCapacityRejectsNothing() {
        startFleet();
        sendRequests(1_000_000, 11_000_000, (int) (SERVERS * 1_000_000 / SERVICE_MICROS) / 2);
        assertEquals(0, fleet.stream().mapToInt(host -> host.rejected.size()).sum());
    }
}
