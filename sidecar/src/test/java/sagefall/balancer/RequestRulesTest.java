package sagefall.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import sagefall.balancer.api.AttemptOutcome;
import sagefall.balancer.api.AttemptResult;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.DeduplicationScope;
import sagefall.balancer.api.EndpointListKind;
import sagefall.balancer.api.EndpointPhase;
import sagefall.balancer.api.Idempotency;
import sagefall.balancer.api.ListedEndpoint;
import sagefall.balancer.api.LoadReport;
import sagefall.balancer.api.LoadReportSource;
import sagefall.balancer.api.RejectionReason;
import sagefall.balancer.api.Request;
import sagefall.balancer.api.RequestClass;

class RequestRulesTest {

    @ParameterizedTest
    @EnumSource(value = AttemptResult.class, mode = EnumSource.Mode.EXCLUDE, names = "SERVED")
    void unsafeGoesOutAgainOnlyAfterProof(AttemptResult result) {
        RecordingActions r =
                new RecordingActions(
                        RecordingActions.settings(
                                Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL),
                        6);
        r.request("x");
        r.answer(0, result, 1000, false);
        if (result.provesNotRun) {
            assertEquals(2, r.sent.size());
            assertNotEquals(r.sent.get(0).server(), r.sent.get(1).server());
        } else {
            assertEquals(1, r.sent.size());
            assertEquals(List.of("x"), r.failed);
            assertTrue(r.refused.isEmpty());
        }
    }

    @Test
    void keyedStaysInItsGroupAndWindow() {
        for (int seed = 0; seed < 20; seed++) {
            RecordingActions r =
                    new RecordingActions(
                            RecordingActions.settings(
                                    Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ZONE),
                            8);
            r.request("x" + seed);
            r.answer(0, AttemptResult.ERROR, 1000 + seed, false);
            assertEquals(2, r.sent.size());
            assertEquals(r.sent.get(0).server() % 2, r.sent.get(1).server() % 2);
            r.answer(1, AttemptResult.ERROR, 600_000, false);
            assertEquals(2, r.sent.size());
            assertEquals(1, r.failed.size());
        }
    }

    /** A connection may come up late, so the end of the window goes with the attempt. */
    @ParameterizedTest
    @EnumSource
    void furtherAttemptCarriesTheEndOfItsWindow(Idempotency effect) {
        RecordingActions r =
                new RecordingActions(RecordingActions.settings(effect, DeduplicationScope.ALL), 6);
        r.request("x");
        long first = r.now;
        r.answer(0, AttemptResult.NO_CONNECTION, 1000, false);
        assertEquals(Long.MAX_VALUE, r.sent.get(0).latest());
        assertEquals(Long.MAX_VALUE, r.sent.get(1).latest());
        r.answer(1, AttemptResult.ERROR, 1000, false);
        if (effect == Idempotency.IDEMPOTENCY_KEY) {
            assertEquals(first + 1000 + 500_000 - 1000, r.sent.get(2).latest());
        } else if (effect == Idempotency.IDEMPOTENT) {
            assertEquals(Long.MAX_VALUE, r.sent.get(2).latest());
        } else {
            assertEquals(2, r.sent.size());
        }
    }

    /**
     * A change counts as told 6 s after discovery had it and could be reached: who has it is asked
     * again soon, however often that has failed, but not by all sidecars at once.
     */
    @ParameterizedTest
    @CsvSource({"false, 50000, 150001", "true, 200000, 600001"})
    void discoveryIsAskedAgainSoon(boolean onAsk, long least, long most) {
        BalancerSettings s =
                RecordingActions.settings(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        RecordingActions r =
                new RecordingActions(
                        new BalancerSettings(
                                s.seed(),
                                s.rank(),
                                s.replicas(),
                                s.zone(),
                                s.zones(),
                                s.classes(),
                                s.tenants(),
                                s.overQuotaWeight(),
                                s.limits(),
                                s.rules(),
                                s.loadReportSource(),
                                onAsk,
                                s.cachesKeys(),
                                s.tickMicros()),
                        4);
        Set<Long> waits = new HashSet<>();
        for (int i = 0; i < 50; i++) {
            r.timers.clear();
            r.choice.onEndpointList(r.now, EndpointListKind.FAILED, List.of());
            assertEquals(1, r.timers.size());
            long wait = r.timers.get(0)[0] - r.now;
            assertTrue(wait >= least && wait <= most, "waits " + wait);
            waits.add(wait);
        }
        assertTrue(waits.size() > 40);
    }

    /** What a request has waited for its host is of its time: it is held so much shorter. */
    @ParameterizedTest
    @ValueSource(longs = {0, 100_000})
    void waitingForTheHostCountsForTheAim(long waited) {
        RecordingActions r =
                new RecordingActions(
                        RecordingActions.settings(Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
                        0);
        long since = r.now;
        r.choice.onRequest(
                r.now,
                new Request(
                        "x", 0, 0, false, -1, since + 1_000_000 - waited, false, false, 0, waited));
        while (r.refused.isEmpty()) {
            r.fireTimers();
        }
        long held = r.now - since;
        assertTrue(Math.abs(held - (140_000 - waited)) < 15_000, "held for " + held);
    }

    /**
     * All of a fleet may start at once, but each has asked for the first time before it counts as
     * told.
     */
    @Test
    void firstCallOfALargeFleetIsSpreadAndSoon() {
        BalancerSettings s =
                RecordingActions.settings(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        List<ListedEndpoint> servers = new ArrayList<>();
        for (int i = 0; i < 1024; i++) {
            servers.add(RecordingActions.server(i + 1, i % 2, 0));
        }
        long last = 0;
        for (int rank = 0; rank < 100; rank++) {
            RecordingActions r =
                    new RecordingActions(
                            new BalancerSettings(
                                    rank,
                                    rank,
                                    1024,
                                    s.zone(),
                                    s.zones(),
                                    s.classes(),
                                    s.tenants(),
                                    s.overQuotaWeight(),
                                    s.limits(),
                                    s.rules(),
                                    s.loadReportSource(),
                                    true,
                                    s.cachesKeys(),
                                    s.tickMicros()),
                            4);
            r.timers.clear();
            r.choice.onEndpointList(r.now, EndpointListKind.CACHED, servers);
            last = Math.max(last, r.timers.get(0)[0] - r.now);
        }
        assertTrue(last > 2_500_000 && last <= 3_020_000, "waits " + last);
    }

    @Test
    void nothingNewToADrainingServer() {
        RecordingActions r =
                new RecordingActions(
                        RecordingActions.settings(Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
                        4);
        ListedEndpoint drained = new ListedEndpoint(1, 0, 0, 0, EndpointPhase.DRAINING, 0, 1);
        r.choice.onEndpointList(r.now, EndpointListKind.CHANGES, List.of(drained));
        for (int i = 0; i < 200; i++) {
            r.request("r" + i);
            r.answer(0, AttemptResult.SERVED, 2000, true);
        }
        assertEquals(200, r.sent.size());
        assertTrue(r.sent.stream().noneMatch(s -> s.server() == 1));
    }

    @Test
    void pastTheMostInHandTheOldestHeldIsRefused() {
        BalancerSettings one =
                RecordingActions.settings(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL);
        BalancerSettings alike =
                new BalancerSettings(
                        one.seed(),
                        0,
                        3,
                        0,
                        one.zones(),
                        one.classes(),
                        List.of(),
                        1,
                        one.limits(),
                        one.rules(),
                        one.loadReportSource(),
                        false,
                        false,
                        1000);
        RecordingActions r = new RecordingActions(alike, 0);
        for (int i = 0; i < 103; i++) {
            r.request("x" + i);
        }
        assertEquals(List.of("x0", "x1", "x2"), r.refused);
        assertTrue(r.failed.isEmpty());
    }

    @Test
    void heldRequestIsRefusedBeforeTheClientGivesUp() {
        RecordingActions r =
                new RecordingActions(
                        RecordingActions.settings(
                                Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL),
                        0);
        r.request("x");
        while (r.refused.isEmpty()) {
            r.fireTimers();
        }
        assertEquals(List.of("x"), r.refused);
        assertTrue(r.now < 2_000_000);
        r.fireTimers();
        r.choice.onClientDisconnected(r.now, "x");
        assertEquals(1, r.refused.size());
    }

    /**
     * Incident i0f9bed: an arrival whose time is already up was held for a probe and got no answer.
     */
    @Test
    void arrivalAtItsDeadlineIsAnsweredAtOnce() {
        RecordingActions r =
                new RecordingActions(
                        RecordingActions.settings(Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
                        4);
        r.choice.onRequest(r.now, new Request("x", 0, 0, false, -1, r.now, false));
        assertEquals(List.of("x"), r.refused);
        assertTrue(r.sent.isEmpty());
    }

    /**
     * Incidents i6f3083 and i5bba91: deep queues from the first second turned the servers slow for
     * good.
     */
    @Test
    void unansweredServersAreNotFilled() {
        RecordingActions r =
                new RecordingActions(
                        RecordingActions.settings(
                                Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL),
                        4);
        for (int i = 0; i < 100; i++) {
            r.request("r" + i);
        }
        assertEquals(12, r.sent.size());
    }

    /**
     * Incident i80c828: one request from each of many sidecars kept crowded servers slow for good.
     */
    @Test
    void crowdedServersAreLeftAloneForAWhile() {
        RecordingActions r =
                new RecordingActions(
                        RecordingActions.settings(
                                Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL),
                        3);
        int sent = 0;
        r.request("slow0");
        while (r.sent.size() > sent && sent < 40) {
            sent++;
            r.answer(0, AttemptResult.SERVED, 190_000, true);
            r.request("slow" + sent);
        }
        assertTrue(sent >= 2 && sent < 40, sent + " slow answers, and no rest");
        r.now += 900_000;
        r.choice.onEndpointList(r.now, EndpointListKind.CHANGES, List.of());
        assertTrue(r.sent.size() > sent, "still at rest");
    }

    @Test
    void coldServerGetsItsColdShareOfWhatAWarmOneIsSent() {
        RecordingActions r =
                new RecordingActions(
                        RecordingActions.settings(Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
                        4);
        long warm = sentToFirst(r, "warm", 200);
        r.choice.onEndpointList(
                r.now, EndpointListKind.CHANGES, List.of(RecordingActions.server(1, 0, r.now)));
        long cold = sentToFirst(r, "cold", 200);
        // It starts at a fifth and has grown to a third by the end of these 2 s.
        assertTrue(cold > 0 && cold <= 0.45 * warm, cold + " while cold, " + warm + " while warm");
    }

    private static long sentToFirst(RecordingActions r, String name, int requests) {
        int before = r.sent.size();
        for (int i = 0; i < requests; i++) {
            r.request(name + i);
            r.answer(0, AttemptResult.SERVED, 10_000, true);
        }
        return r.sent.stream().skip(before).filter(s -> s.server() == 1).count();
    }

    /**
     * Held to their end, requests kept the connections that clients needed for those still in time.
     */
    @Test
    void whereManyAreInHandTheHeldAreRefusedBeforeHalfOfTheirTime() {
        BalancerSettings s =
                RecordingActions.settings(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL);
        RecordingActions r =
                new RecordingActions(
                        new BalancerSettings(
                                s.seed(),
                                s.rank(),
                                s.replicas(),
                                s.zone(),
                                s.zones(),
                                List.of(
                                        new RequestClass(
                                                "c",
                                                Idempotency.NOT_IDEMPOTENT,
                                                DeduplicationScope.ALL,
                                                0,
                                                200_000,
                                                1_000_000,
                                                1,
                                                0.5,
                                                false)),
                                s.tenants(),
                                s.overQuotaWeight(),
                                s.limits(),
                                s.rules(),
                                s.loadReportSource(),
                                s.pollsDiscovery(),
                                s.cachesKeys(),
                                s.tickMicros()),
                        4);
        long arrived = r.now;
        for (int i = 0; i < 100; i++) {
            r.request("r" + i);
        }
        while (r.now < arrived + 480_000) {
            r.fireTimers();
        }
        assertTrue(r.refused.size() >= 50, r.refused.size() + " refused");
    }

    /** A spoilt answer or a reset now and then made every server look as if it had just started. */
    @Test
    void oneBrokenConnectionIsNoRestart() {
        RecordingActions r =
                new RecordingActions(
                        RecordingActions.settings(Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
                        4);
        long before = sentToFirst(r, "before", 200);
        boolean broke = false;
        for (int i = 0; i < 100 && !broke; i++) {
            r.request("x" + i);
            broke = r.sent.get(r.sent.size() - 1).server() == 1;
            r.answer(0, broke ? AttemptResult.BROKEN : AttemptResult.SERVED, 10_000, true);
        }
        assertTrue(broke);
        r.now += 20_000_000;
        long after = sentToFirst(r, "after", 200);
        assertTrue(after >= 0.6 * before, after + " after it, " + before + " before");
    }

    /**
     * After a start the first answers are slow for other reasons; idle servers were sent next to
     * nothing.
     */
    @ParameterizedTest
    @CsvSource({"0.1, true", "0.9, false"})
    void slowAnswersCutTheLimitOfBusyServersOnly(double use, boolean kept) {
        BalancerSettings s =
                RecordingActions.settings(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL);
        RecordingActions r =
                new RecordingActions(
                        new BalancerSettings(
                                s.seed(),
                                s.rank(),
                                s.replicas(),
                                s.zone(),
                                s.zones(),
                                s.classes(),
                                s.tenants(),
                                s.overQuotaWeight(),
                                s.limits(),
                                s.rules(),
                                LoadReportSource.ANSWERS,
                                s.pollsDiscovery(),
                                s.cachesKeys(),
                                s.tickMicros()),
                        4);
        LoadReport report =
                new LoadReport(Double.NaN, Double.NaN, use, Double.NaN, Double.NaN, Double.NaN);
        for (int i = 0; i < 40; i++) {
            r.request("a" + i);
            RecordingActions.Sent last = r.sent.get(r.sent.size() - 1);
            r.now += 150_000;
            r.choice.onAttemptOutcome(
                    r.now,
                    new AttemptOutcome(
                            last.request(),
                            0,
                            last.server(),
                            AttemptResult.SERVED,
                            150_000,
                            true,
                            report));
        }
        int before = r.sent.size();
        for (int i = 0; i < 100; i++) {
            r.request("b" + i);
        }
        assertEquals(kept, r.sent.size() - before >= 12);
    }

    @Test
    void hangingServerLosesItsTraffic() {
        RecordingActions r =
                new RecordingActions(
                        RecordingActions.settings(
                                Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL),
                        4);
        int hung = 0;
        for (int i = 0; i < 300; i++) {
            r.request("r" + i);
            if (r.sent.get(r.sent.size() - 1).server() == 2) {
                hung++;
                r.now += 20_000;
            } else {
                r.answer(0, AttemptResult.SERVED, 20_000, true);
            }
        }
        assertTrue(hung <= 8, "sent " + hung + " to a server that answers nothing");
    }

    @Test
    void fastFailuresDoNotAttractTraffic() {
        RecordingActions r =
                new RecordingActions(
                        RecordingActions.settings(
                                Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL),
                        4);
        int failing = 0;
        for (int i = 0; i < 300; i++) {
            r.request("r" + i);
            boolean bad = r.sent.get(r.sent.size() - 1).server() == 2;
            failing += bad ? 1 : 0;
            r.answer(0, bad ? AttemptResult.ERROR : AttemptResult.SERVED, bad ? 500 : 20_000, !bad);
        }
        assertTrue(failing <= 20, "sent " + failing + " to a server that only fails");
    }

    @Test
    void impossibleSettingsAreNamed() {
        BalancerSettings s =
                RecordingActions.settings(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        String message =
                assertThrows(
                                IllegalArgumentException.class,
                                () ->
                                        new BalancerSettings(
                                                s.seed(),
                                                0,
                                                1,
                                                0,
                                                s.zones(),
                                                List.of(),
                                                s.tenants(),
                                                1,
                                                s.limits(),
                                                s.rules(),
                                                s.loadReportSource(),
                                                false,
                                                false,
                                                1000))
                        .getMessage();
        assertTrue(message.contains("classes"), message);
    }

    /**
     * A random run of legal events: one final answer each, nothing after it, effects and drains
     * kept.
     */
    @ParameterizedTest
    @EnumSource(Idempotency.class)
    void randomEventsKeepTheRules(Idempotency effect) {
        SplittableRandom random = new SplittableRandom(11);
        RecordingActions r =
                new RecordingActions(RecordingActions.settings(effect, DeduplicationScope.ZONE), 7);
        Map<String, Integer> attempts = new HashMap<>();
        Map<String, Boolean> mayHaveRun = new HashMap<>();
        Map<String, Boolean> over = new HashMap<>();
        Map<Long, Boolean> draining = new HashMap<>();
        int seen = 0;
        AttemptResult[] results = AttemptResult.values();
        record Out(String request, int attempt, long server, long at) {}
        List<Out> out = new java.util.ArrayList<>();
        for (int step = 0; step < 6000; step++) {
            r.now += random.nextInt(4000);
            if (random.nextInt(3) == 0) {
                String id = "q" + step;
                over.put(id, false);
                r.request(id);
            } else if (!out.isEmpty() && random.nextInt(3) > 0) {
                Out o = out.remove(random.nextInt(out.size()));
                boolean served = random.nextInt(4) > 0;
                AttemptResult result =
                        served ? AttemptResult.SERVED : results[random.nextInt(results.length)];
                boolean closed = over.get(o.request) || result == AttemptResult.SERVED;
                if (!result.provesNotRun) {
                    mayHaveRun.put(o.request, true);
                }
                over.put(o.request, closed);
                r.choice.onAttemptOutcome(
                        r.now,
                        new AttemptOutcome(
                                o.request,
                                o.attempt,
                                o.server,
                                result,
                                r.now - o.at,
                                closed,
                                null));
            } else if (random.nextInt(40) == 0) {
                long id = 1L + random.nextInt(7);
                boolean drain = random.nextBoolean();
                draining.put(id, drain);
                r.choice.onEndpointList(
                        r.now,
                        EndpointListKind.CHANGES,
                        List.of(
                                new ListedEndpoint(
                                        id,
                                        (int) (id - 1) % 2,
                                        0,
                                        (int) id % 3,
                                        drain ? EndpointPhase.DRAINING : EndpointPhase.READY,
                                        0,
                                        1)));
            }
            for (long[] t : List.copyOf(r.timers)) {
                if (t[0] <= r.now) {
                    r.timers.remove(t);
                    r.choice.onTimer(r.now, t[1]);
                }
            }
            for (; seen < r.actions.size(); seen++) {
                String[] a = r.actions.get(seen).split(" ", 0);
                if (a[0].equals("send")) {
                    assertFalse(over.get(a[1]), "sent after the end");
                    assertFalse(
                            draining.getOrDefault(Long.parseLong(a[2]), false),
                            "sent to a draining server");
                    assertTrue(
                            effect != Idempotency.NOT_IDEMPOTENT
                                    || !mayHaveRun.getOrDefault(a[1], false),
                            "sent twice");
                    int n = attempts.merge(a[1], 1, Integer::sum) - 1;
                    assertTrue(n < 4);
                    assertTrue(
                            effect == Idempotency.IDEMPOTENT
                                    || out.stream().noneMatch(o -> o.request.equals(a[1])));
                    out.add(new Out(a[1], n, Long.parseLong(a[2]), r.now));
                } else if (a[0].equals("refuse") || a[0].equals("fail")) {
                    assertFalse(over.put(a[1], true), "a second final answer");
                    assertTrue(
                            a[0].equals("fail")
                                    || effect == Idempotency.IDEMPOTENT
                                    || !mayHaveRun.getOrDefault(a[1], false),
                            "refused what may have run");
                }
            }
        }
        assertTrue(attempts.size() > 300, "only " + attempts.size() + " were sent");
    }

    @Test
    void sameEventsGiveTheSameActions() {
        RecordingActions a =
                new RecordingActions(
                        RecordingActions.settings(Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
                        6);
        RecordingActions b =
                new RecordingActions(
                        RecordingActions.settings(Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
                        6);
        for (int i = 0; i < 200; i++) {
            for (RecordingActions r : List.of(a, b)) {
                r.choice.onRequest(
                        r.now, new Request("r" + i, 0, i % 2, false, -1, r.now + 1_000_000, false));
                r.answer(
                        0,
                        i % 9 == 0 ? AttemptResult.REJECTED : AttemptResult.SERVED,
                        3000 + i,
                        i % 9 != 0);
            }
        }
        assertEquals(a.actions, b.actions);
    }

    /** Each end tells why: what the laboratory counts losses by. */
    @ParameterizedTest
    @CsvSource({
        "NOT_IDEMPOTENT, ERROR, NOT_RETRYABLE",
        "IDEMPOTENCY_KEY, REJECTED, MAX_ATTEMPTS",
        "IDEMPOTENCY_KEY, CANCELLED, QUEUE_TIMEOUT"
    })
    void theEndOfARequestTellsWhy(Idempotency effect, AttemptResult each, RejectionReason why) {
        RecordingActions r =
                new RecordingActions(
                        RecordingActions.settings(effect, DeduplicationScope.ALL),
                        each == AttemptResult.CANCELLED ? 0 : 8);
        r.request("a");
        for (int n = 0; n < 8 && r.reasons.isEmpty(); n++) {
            if (r.sent.size() > n) {
                r.answer(n, each, 1, false);
            } else {
                r.fireTimers();
            }
        }
        assertEquals(List.of(why), r.reasons);
    }
}
