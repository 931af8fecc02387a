package sagefall.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
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
    void notIdempotentRequestIsRetriedOnlyAfterProofThatItNeverRan(AttemptResult result) {
        RecordingActions host =
                new RecordingActions(
                        RecordingActions.settings(
                                Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL),
                        6);
        host.request("x");
        host.answer(0, result, 1000, false);
        if (result.provesNotExecuted) {
            assertEquals(2, host.sent.size());
            assertNotEquals(host.sent.get(0).server(), host.sent.get(1).server());
        } else {
            assertEquals(1, host.sent.size());
            assertEquals(List.of("x"), host.failed);
            assertTrue(host.rejected.isEmpty());
        }
    }

    @Test
    void retryWithIdempotencyKeyStaysInItsScopeAndWindow() {
        for (int seed = 0; seed < 20; seed++) {
            RecordingActions host =
                    new RecordingActions(
                            RecordingActions.settings(
                                    Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ZONE),
                            8);
            host.request("x" + seed);
            host.answer(0, AttemptResult.ERROR, 1000 + seed, false);
            assertEquals(2, host.sent.size());
            assertEquals(host.sent.get(0).server() % 2, host.sent.get(1).server() % 2);
            host.answer(1, AttemptResult.ERROR, 600_000, false);
            assertEquals(2, host.sent.size());
            assertEquals(1, host.failed.size());
        }
    }

    /** A connection may come up late, so the end of the window goes with the attempt. */
    @ParameterizedTest
    @EnumSource
    void retryCarriesTheEndOfItsDeduplicationWindow(Idempotency effect) {
        RecordingActions host =
                new RecordingActions(RecordingActions.settings(effect, DeduplicationScope.ALL), 6);
        host.request("x");
        long first = host.now;
        host.answer(0, AttemptResult.NO_CONNECTION, 1000, false);
        assertEquals(Long.MAX_VALUE, host.sent.get(0).latest());
        assertEquals(Long.MAX_VALUE, host.sent.get(1).latest());
        host.answer(1, AttemptResult.ERROR, 1000, false);
        if (effect == Idempotency.IDEMPOTENCY_KEY) {
            assertEquals(first + 1000 + 500_000 - 1000, host.sent.get(2).latest());
        } else if (effect == Idempotency.IDEMPOTENT) {
            assertEquals(Long.MAX_VALUE, host.sent.get(2).latest());
        } else {
            assertEquals(2, host.sent.size());
        }
    }

    /**
     * A change counts as known 6 s after discovery had it and could be reached: discovery is polled
     * soon after a failure, however often that has failed, but not by all sidecars at once.
     */
    @ParameterizedTest
    @CsvSource({"false, 50000, 150001", "true, 200000, 600001"})
    void discoveryIsPolledSoonAfterAFailure(boolean onAsk, long least, long most) {
        BalancerSettings defaults =
                RecordingActions.settings(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        RecordingActions host =
                new RecordingActions(
                        new SettingsBuilder(defaults).pollsDiscovery(onAsk).build(), 4);
        Set<Long> waits = new HashSet<>();
        for (int i = 0; i < 50; i++) {
            host.timers.clear();
            host.balancer.onEndpointList(host.now, EndpointListKind.FAILED, List.of());
            assertEquals(1, host.timers.size());
            long wait = host.timers.get(0)[0] - host.now;
            assertTrue(wait >= least && wait <= most, "waits " + wait);
            waits.add(wait);
        }
        assertTrue(waits.size() > 40);
    }

    /** What a request has waited for its host is of its time: it is queued so much shorter. */
    @ParameterizedTest
    @ValueSource(longs = {0, 100_000})
    void waitingForTheHostCountsForTheLatencyObjective(long waited) {
        RecordingActions host =
                new RecordingActions(
                        RecordingActions.settings(Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
                        0);
        long since = host.now;
        host.balancer.onRequest(
                host.now,
                new Request(
                        "x", 0, 0, false, -1, since + 1_000_000 - waited, false, false, 0, waited));
        while (host.rejected.isEmpty()) {
            host.fireTimers();
        }
        long queuedFor = host.now - since;
        assertTrue(Math.abs(queuedFor - (140_000 - waited)) < 15_000, "queued for " + queuedFor);
    }

    /**
     * All of a fleet may start at once, but each has asked for the first time before it counts as
     * told.
     */
    @Test
    void firstPollOfALargeFleetIsSpreadAndSoon() {
        BalancerSettings defaults =
                RecordingActions.settings(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        List<ListedEndpoint> servers = new ArrayList<>();
        for (int i = 0; i < 1024; i++) {
            servers.add(RecordingActions.server(i + 1, i % 2, 0));
        }
        long last = 0;
        for (int rank = 0; rank < 100; rank++) {
            RecordingActions host =
                    new RecordingActions(
                            new SettingsBuilder(defaults)
                                    .seed(rank)
                                    .rank(rank)
                                    .replicas(1024)
                                    .pollsDiscovery(true)
                                    .build(),
                            4);
            host.timers.clear();
            host.balancer.onEndpointList(host.now, EndpointListKind.CACHED, servers);
            last = Math.max(last, host.timers.get(0)[0] - host.now);
        }
        assertTrue(last > 2_500_000 && last <= 3_020_000, "waits " + last);
    }

    @Test
    void nothingNewToADrainingServer() {
        RecordingActions host =
                new RecordingActions(
                        RecordingActions.settings(Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
                        4);
        ListedEndpoint drained = new ListedEndpoint(1, 0, 0, 0, EndpointPhase.DRAINING, 0, 1);
        host.balancer.onEndpointList(host.now, EndpointListKind.CHANGES, List.of(drained));
        for (int i = 0; i < 200; i++) {
            host.request("r" + i);
            host.answer(0, AttemptResult.SERVED, 2000, true);
        }
        assertEquals(200, host.sent.size());
        assertTrue(host.sent.stream().noneMatch(s -> s.server() == 1));
    }

    @Test
    void beyondMaxOpenRequestsTheOldestQueuedIsRejected() {
        BalancerSettings defaults =
                RecordingActions.settings(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL);
        BalancerSettings alike =
                new SettingsBuilder(defaults).tenants(List.of()).overQuotaWeight(1).build();
        RecordingActions host = new RecordingActions(alike, 0);
        for (int i = 0; i < 103; i++) {
            host.request("x" + i);
        }
        assertEquals(List.of("x0", "x1", "x2"), host.rejected);
        assertTrue(host.failed.isEmpty());
    }

    @Test
    void queuedRequestIsRejectedBeforeTheClientGivesUp() {
        RecordingActions host =
                new RecordingActions(
                        RecordingActions.settings(
                                Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL),
                        0);
        host.request("x");
        while (host.rejected.isEmpty()) {
            host.fireTimers();
        }
        assertEquals(List.of("x"), host.rejected);
        assertTrue(host.now < 2_000_000);
        host.fireTimers();
        host.balancer.onClientDisconnected(host.now, "x");
        assertEquals(1, host.rejected.size());
    }

    /**
     * Incident i0f9bed: an arrival whose time is already up was queued for a trial and got no
     * answer.
     */
    @Test
    void arrivalAtItsDeadlineIsAnsweredAtOnce() {
        RecordingActions host =
                new RecordingActions(
                        RecordingActions.settings(Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
                        4);
        host.balancer.onRequest(host.now, new Request("x", 0, 0, false, -1, host.now, false));
        assertEquals(List.of("x"), host.rejected);
        assertTrue(host.sent.isEmpty());
    }

    /**
     * Incidents i6f3083 and i5bba91: deep queues from the first second turned the servers slow for
     * good.
     */
    @Test
    void unansweredServersAreNotFilled() {
        RecordingActions host =
                new RecordingActions(
                        RecordingActions.settings(
                                Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL),
                        4);
        for (int i = 0; i < 100; i++) {
            host.request("r" + i);
        }
        assertEquals(12, host.sent.size());
    }

    /**
     * Incident i80c828: one request from each of many sidecars kept overloaded servers slow for
     * good.
     */
    @Test
    void overloadedServersRestBetweenAttempts() {
        RecordingActions host =
                new RecordingActions(
                        RecordingActions.settings(
                                Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL),
                        3);
        int sent = 0;
        host.request("slow0");
        while (host.sent.size() > sent && sent < 40) {
            sent++;
            host.answer(0, AttemptResult.SERVED, 190_000, true);
            host.request("slow" + sent);
        }
        assertTrue(sent >= 2 && sent < 40, sent + " slow answers, and no rest");
        host.now += 900_000;
        host.balancer.onEndpointList(host.now, EndpointListKind.CHANGES, List.of());
        assertTrue(host.sent.size() > sent, "still at rest");
    }

    @Test
    void serverInSlowStartGetsItsShareOfWhatAWarmOneIsSent() {
        RecordingActions host =
                new RecordingActions(
                        RecordingActions.settings(Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
                        4);
        long warm = sentToFirst(host, "warm", 200);
        host.balancer.onEndpointList(
                host.now,
                EndpointListKind.CHANGES,
                List.of(RecordingActions.server(1, 0, host.now)));
        long cold = sentToFirst(host, "cold", 200);
        // It starts at a fifth and has grown to a third by the end of these 2 s.
        assertTrue(cold > 0 && cold <= 0.45 * warm, cold + " while cold, " + warm + " while warm");
    }

    private static long sentToFirst(RecordingActions host, String name, int requests) {
        int before = host.sent.size();
        for (int i = 0; i < requests; i++) {
            host.request(name + i);
            host.answer(0, AttemptResult.SERVED, 10_000, true);
        }
        return host.sent.stream().skip(before).filter(s -> s.server() == 1).count();
    }

    /**
     * Queued to their end, requests kept the connections that clients needed for those still in
     * time.
     */
    @Test
    void whileManyAreOpenQueuedRequestsAreRejectedBeforeHalfOfTheirTime() {
        BalancerSettings defaults =
                RecordingActions.settings(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL);
        RecordingActions host =
                new RecordingActions(
                        new SettingsBuilder(defaults)
                                .classes(
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
                                                        false)))
                                .build(),
                        4);
        long arrived = host.now;
        for (int i = 0; i < 100; i++) {
            host.request("r" + i);
        }
        while (host.now < arrived + 480_000) {
            host.fireTimers();
        }
        assertTrue(host.rejected.size() >= 50, host.rejected.size() + " rejected");
    }

    /** A spoilt answer or a reset now and then made every server look as if it had just started. */
    @Test
    void oneBrokenConnectionIsNoRestart() {
        RecordingActions host =
                new RecordingActions(
                        RecordingActions.settings(Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
                        4);
        long before = sentToFirst(host, "before", 200);
        boolean broke = false;
        for (int i = 0; i < 100 && !broke; i++) {
            host.request("x" + i);
            broke = host.sent.get(host.sent.size() - 1).server() == 1;
            host.answer(0, broke ? AttemptResult.BROKEN : AttemptResult.SERVED, 10_000, true);
        }
        assertTrue(broke);
        host.now += 20_000_000;
        long after = sentToFirst(host, "after", 200);
        assertTrue(after >= 0.6 * before, after + " after it, " + before + " before");
    }

    /**
     * After a start the first answers are slow for other reasons; idle servers were sent next to
     * nothing.
     */
    @ParameterizedTest
    @CsvSource({"0.1, true", "0.9, false"})
    void slowAnswersCutTheLimitOfBusyServersOnly(double use, boolean kept) {
        BalancerSettings defaults =
                RecordingActions.settings(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL);
        RecordingActions host =
                new RecordingActions(
                        new SettingsBuilder(defaults)
                                .loadReportSource(LoadReportSource.ANSWERS)
                                .build(),
                        4);
        LoadReport report =
                new LoadReport(Double.NaN, Double.NaN, use, Double.NaN, Double.NaN, Double.NaN);
        for (int i = 0; i < 40; i++) {
            host.request("a" + i);
            RecordingActions.Sent last = host.sent.get(host.sent.size() - 1);
            host.now += 150_000;
            host.balancer.onAttemptOutcome(
                    host.now,
                    new AttemptOutcome(
                            last.request(),
                            0,
                            last.server(),
                            AttemptResult.SERVED,
                            150_000,
                            true,
                            report));
        }
        int before = host.sent.size();
        for (int i = 0; i < 100; i++) {
            host.request("b" + i);
        }
        assertEquals(kept, host.sent.size() - before >= 12);
    }

    @Test
    void hangingServerLosesItsTraffic() {
        RecordingActions host =
                new RecordingActions(
                        RecordingActions.settings(
                                Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL),
                        4);
        int hung = 0;
        for (int i = 0; i < 300; i++) {
            host.request("r" + i);
            if (host.sent.get(host.sent.size() - 1).server() == 2) {
                hung++;
                host.now += 20_000;
            } else {
                host.answer(0, AttemptResult.SERVED, 20_000, true);
            }
        }
        assertTrue(hung <= 8, "sent " + hung + " to a server that answers nothing");
    }

    @Test
    void fastFailuresDoNotAttractTraffic() {
        RecordingActions host =
                new RecordingActions(
                        RecordingActions.settings(
                                Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL),
                        4);
        int failing = 0;
        for (int i = 0; i < 300; i++) {
            host.request("r" + i);
            boolean bad = host.sent.get(host.sent.size() - 1).server() == 2;
            failing += bad ? 1 : 0;
            host.answer(
                    0, bad ? AttemptResult.ERROR : AttemptResult.SERVED, bad ? 500 : 20_000, !bad);
        }
        assertTrue(failing <= 20, "sent " + failing + " to a server that only fails");
    }

    @Test
    void impossibleSettingsAreNamed() {
        BalancerSettings defaults =
                RecordingActions.settings(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        String message =
                assertThrows(
                                IllegalArgumentException.class,
                                () ->
                                        new SettingsBuilder(defaults)
                                                .replicas(1)
                                                .classes(List.of())
                                                .overQuotaWeight(1)
                                                .build())
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
        RandomEventRun run = new RandomEventRun(effect);
        run.play(6000);
        assertTrue(run.requestsSent() > 300, "only " + run.requestsSent() + " were sent");
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
            for (RecordingActions host : List.of(a, b)) {
                host.balancer.onRequest(
                        host.now,
                        new Request("r" + i, 0, i % 2, false, -1, host.now + 1_000_000, false));
                host.answer(
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
    void endOfARequestSaysWhy(Idempotency effect, AttemptResult each, RejectionReason reason) {
        RecordingActions host =
                new RecordingActions(
                        RecordingActions.settings(effect, DeduplicationScope.ALL),
                        each == AttemptResult.CANCELLED ? 0 : 8);
        host.request("a");
        for (int n = 0; n < 8 && host.reasons.isEmpty(); n++) {
            if (host.sent.size() > n) {
                host.answer(n, each, 1, false);
            } else {
                host.fireTimers();
            }
        }
        assertEquals(List.of(reason), host.reasons);
    }
}
