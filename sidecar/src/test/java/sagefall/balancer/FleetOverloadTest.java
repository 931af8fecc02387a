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
 * A fleet of instances that share nothing, on servers that queue what they are sent and forget
 * nothing.
 */
class FleetOverloadTest {

    private static final int SIDECARS = 14;
    private static final int SERVERS = 40;
    private static final long SERVICE_MICROS = 40_000;
    private static final long OBJECTIVE_MICROS = 200_000;

    private record Event(long at, int instance, AttemptOutcome outcome) {}

    private final List<RecordingActions> fleet = new ArrayList<>();
    private final PriorityQueue<Event> answers =
            new PriorityQueue<>(Comparator.comparingLong(Event::at));

    /** When each server will have done all that it was sent. */
    private final Map<Long, ArrayDeque<Long>> queues = new HashMap<>();

    private int inTime;

    private void open() {
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

    /** So many requests a second for so long; each server does 25 a second. */
    private int play(long from, long until, int perSecond) {
        inTime = 0;
        int number = 0;
        for (long at = from; at < until; at += 1_000_000 / perSecond) {
            answerUntil(at);
            int instance = number++ % SIDECARS;
            RecordingActions host = fleet.get(instance);
            int before = host.sent.size();
            host.now = at;
            host.request("r" + at);
            sent(instance, before);
        }
        answerUntil(until);
        return inTime;
    }

    private void sent(int instance, int before) {
        RecordingActions host = fleet.get(instance);
        for (RecordingActions.Sent s : host.sent.subList(before, host.sent.size())) {
            ArrayDeque<Long> queue = queues.computeIfAbsent(s.server(), id -> new ArrayDeque<>());
            queue.removeIf(end -> end <= s.at());
            long end = Math.max(s.at(), queue.isEmpty() ? 0 : queue.peekLast()) + SERVICE_MICROS;
            queue.addLast(end);
            double use = Math.min(1, queue.size() / 2.0);
            long took = Math.min(end - s.at(), 1_000_000);
            answers.add(
                    new Event(
                            s.at() + took,
                            instance,
                            new AttemptOutcome(
                                    s.request(),
                                    0,
                                    s.server(),
                                    end - s.at() > took
                                            ? AttemptResult.TIMED_OUT
                                            : AttemptResult.SERVED,
                                    took,
                                    end - s.at() <= took,
                                    new LoadReport(Double.NaN, Double.NaN, use, 40, 25, 0))));
        }
    }

    private void answerUntil(long until) {
        while (!answers.isEmpty() && answers.peek().at() <= until) {
            Event e = answers.poll();
            RecordingActions host = fleet.get(e.instance());
            int before = host.sent.size();
            host.now = e.at();
            host.balancer.onAttemptOutcome(e.at(), e.outcome());
            inTime +=
                    e.outcome().result() == AttemptResult.SERVED
                                    && e.outcome().elapsedMicros() <= OBJECTIVE_MICROS
                            ? 1
                            : 0;
            sent(e.instance(), before);
        }
    }

    /**
     * Half of a fleet's servers had gone: each of the others saw a request a second from each
     * sidecar, far under any limit of its own, so all queued up to the deadline and hardly an
     * answer was in time.
     */
    @Test
    void fleetAtTwiceItsCapacityStillAnswersMostOfThatInTime() {
        open();
        int capacity = (int) (SERVERS * 1_000_000 / SERVICE_MICROS);
        play(1_000_000, 6_000_000, capacity / 2);
        play(6_000_000, 9_000_000, 2 * capacity);
        int served = play(9_000_000, 14_000_000, 2 * capacity);
        assertTrue(
                served > 0.6 * 5 * capacity, served + " in time of " + 5 * capacity + " possible");
    }

    @Test
    void requestsBeyondCapacityOfAnOverloadedZoneAreRejectedAtOnce() {
        open();
        int capacity = (int) (SERVERS * 1_000_000 / SERVICE_MICROS);
        play(1_000_000, 9_000_000, 2 * capacity);
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
                        + host.sent.stream().filter(s -> s.request().startsWith("at once")).count(),
                "none is queued");
    }

    /**
     * The part of the objective was computed in integers, so only what was past all of it counted
     * as slow.
     */
    @Test
    void answersPastHalfOfTheirObjectiveFromABusyZoneCutItsLimit() {
        open();
        RecordingActions host = fleet.get(0);
        LoadReport busy = new LoadReport(Double.NaN, Double.NaN, 0.95, 40, 25, 0);
        for (int i = 0; i < 60; i++) {
            host.request("a" + i);
            RecordingActions.Sent last = host.sent.get(host.sent.size() - 1);
            host.now += OBJECTIVE_MICROS * 6 / 10;
            host.balancer.onAttemptOutcome(
                    host.now,
                    new AttemptOutcome(
                            last.request(),
                            0,
                            last.server(),
                            AttemptResult.SERVED,
                            OBJECTIVE_MICROS * 6 / 10,
                            true,
                            busy));
        }
        for (int i = 0; i < 40; i++) {
            host.request("b" + i);
        }
        assertTrue(host.rejected.size() > 10, "rejected " + host.rejected.size());
    }

    /** Each sidecar sends a server little, on a connection long idle: an error there counts too. */
    @Test
    void errorsOfASeldomUsedServerMoveItsTraffic() {
        open();
        RecordingActions host = fleet.get(0);
        int before = 0;
        for (int i = 0; i < 3000; i++) {
            host.now += 20_000;
            int sent = host.sent.size();
            host.request("r" + i);
            RecordingActions.Sent last = host.sent.get(host.sent.size() - 1);
            assertEquals(sent + 1, host.sent.size());
            boolean bad = last.server() == 1;
            before += bad && i >= 1000 ? 1 : 0;
            host.balancer.onAttemptOutcome(
                    host.now,
                    new AttemptOutcome(
                            last.request(),
                            0,
                            last.server(),
                            bad && i >= 1000 ? AttemptResult.ERROR : AttemptResult.SERVED,
                            1000,
                            !bad || i < 1000,
                            null));
            if (bad && i >= 1000 && host.sent.size() > sent + 1) {
                RecordingActions.Sent again = host.sent.get(host.sent.size() - 1);
                host.balancer.onAttemptOutcome(
                        host.now,
                        new AttemptOutcome(
                                again.request(),
                                1,
                                again.server(),
                                AttemptResult.SERVED,
                                1000,
                                true,
                                null));
            }
        }
        assertTrue(before > 0 && before < 30, "errors met: " + before);
    }

    /** A fleet at two thirds of its capacity is not overloaded, however its answers are spread. */
    @Test
    void fleetWithCapacityRejectsNothing() {
        open();
        play(1_000_000, 11_000_000, (int) (SERVERS * 1_000_000 / SERVICE_MICROS) / 2);
        assertEquals(0, fleet.stream().mapToInt(host -> host.rejected.size()).sum());
    }
}
