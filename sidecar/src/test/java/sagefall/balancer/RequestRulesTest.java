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

/**
 * Checks the rules on sending, retrying, queueing and rejecting requests, and on polling discovery.
 */
class RequestRulesTest {

    @ParameterizedTest
    @EnumSource(value = AttemptResult.class, mode = EnumSource.Mode.EXCLUDE, names = "SERVED")
    void nonIdempotentRequestIsRetriedOnlyIfItProvablyNeverRan(AttemptResult result) {
        RecordingActions host =
                new RecordingActions(
                        RecordingActions.settings(
                                Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL),
                        6);
        host.request("x");
        host.endLastAttempt(0, result, 1000, false);
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
    void retryWithIdempotencyKeyStaysInItsDeduplicationScopeAndWindow() {
        for (int seed = 0; seed < 20; seed++) {
            RecordingActions host =
                    new RecordingActions(
                            RecordingActions.settings(
                                    Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ZONE),
                            8);
            host.request("x" + seed);
            host.endLastAttempt(0, AttemptResult.ERROR, 1000 + seed, false);
            assertEquals(2, host.sent.size());
            assertEquals(host.sent.get(0).server() % 2, host.sent.get(1).server() % 2);
            host.endLastAttempt(1, AttemptResult.ERROR, 600_000, false);
            assertEquals(2, host.sent.size());
            assertEquals(1, host.failed.size());
        }
    }

    /**
     * The host may have to wait for a connection before it sends an attempt. For a retry that
     * relies on an idempotency key, the balancer therefore passes the latest start time with the
     * attempt: one tick before the end of the deduplication window. Other attempts have no latest
     * start time.
     */
    @ParameterizedTest
    @EnumSource
    void retryCarriesTheLatestStartTimeThatItsIdempotencyAllows(Idempotency idempotency) {
        RecordingActions host =
                new RecordingActions(
                        RecordingActions.settings(idempotency, DeduplicationScope.ALL), 6);
        host.request("x");
        long first = host.now;
        host.endLastAttempt(0, AttemptResult.NO_CONNECTION, 1000, false);
        assertEquals(Long.MAX_VALUE, host.sent.get(0).latestStartMicros());
        assertEquals(Long.MAX_VALUE, host.sent.get(1).latestStartMicros());
        host.endLastAttempt(1, AttemptResult.ERROR, 1000, false);
        if (idempotency == Idempotency.IDEMPOTENCY_KEY) {
            assertEquals(first + 1000 + 500_000 - 1000, host.sent.get(2).latestStartMicros());
        } else if (idempotency == Idempotency.IDEMPOTENT) {
            assertEquals(Long.MAX_VALUE, host.sent.get(2).latestStartMicros());
        } else {
            assertEquals(2, host.sent.size());
        }
    }

    /**
     * Once discovery has a change and can be reached, a sidecar has to apply the change within 6 s.
     * So each sidecar polls discovery soon after a failure, however often discovery has failed. The
     * delays are random, so that the sidecars do not poll all at once.
     */
    @ParameterizedTest
    @CsvSource({"false, 50000, 150001", "true, 200000, 600001"})
    void discoveryIsPolledSoonAfterAFailure(boolean pollsDiscovery, long minDelay, long maxDelay) {
        BalancerSettings defaults =
                RecordingActions.settings(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        RecordingActions host =
                new RecordingActions(
                        new SettingsBuilder(defaults).pollsDiscovery(pollsDiscovery).build(), 4);
        Set<Long> delays = new HashSet<>();
        for (int i = 0; i < 50; i++) {
            host.timers.clear();
            host.balancer.onEndpointList(host.now, EndpointListKind.FAILED, List.of());
            assertEquals(1, host.timers.size());
            long delay = host.timers.get(0)[0] - host.now;
            assertTrue(delay >= minDelay && delay <= maxDelay, "polled after " + delay);
            delays.add(delay);
        }
        assertTrue(delays.size() > 40);
    }

    /**
     * The latency of a request includes the time that the request has waited for the host. So the
     * request is queued for less time.
     */
    @ParameterizedTest
    @ValueSource(longs = {0, 100_000})
    void timeWaitedForTheHostShortensTheTimeInTheQueue(long waited) {
        RecordingActions host =
                new RecordingActions(
                        RecordingActions.settings(Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
                        0);
        long arrivedAt = host.now;
        host.balancer.onRequest(
                host.now,
                new Request(
                        "x",
                        0,
                        0,
                        false,
                        -1,
                        arrivedAt + 1_000_000 - waited,
                        false,
                        false,
                        0,
                        waited,
                        Request.NO_REPEAT_KEY));
        while (host.rejected.isEmpty()) {
            host.fireTimers();
        }
        long queuedFor = host.now - arrivedAt;
        // The request is queued for about 140 ms minus the time that it has waited for the host.
        // The 140 ms are the latency target of 200 ms minus the typical latency of 60 ms, which is
        // 0.3 of the latency target before the first response.
        assertTrue(Math.abs(queuedFor - (140_000 - waited)) < 15_000, "queued for " + queuedFor);
    }

    /**
     * All sidecars of a fleet may start at once, so their first polls are spread over about 3 s.
     * The spread must not be longer, because each sidecar has to apply the current endpoint list in
     * time.
     */
    @Test
    void firstPollsOfALargeFleetAreSpreadOverAboutThreeSeconds() {
        BalancerSettings defaults =
                RecordingActions.settings(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        List<ListedEndpoint> servers = new ArrayList<>();
        for (int i = 0; i < 1024; i++) {
            servers.add(RecordingActions.server(i + 1, i % 2, 0));
        }
        long longestDelay = 0;
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
            longestDelay = Math.max(longestDelay, host.timers.get(0)[0] - host.now);
        }
        assertTrue(
                longestDelay > 2_500_000 && longestDelay <= 3_020_000,
                "longest delay of a first poll: " + longestDelay);
    }

    @Test
    void noRequestIsSentToADrainingServer() {
        RecordingActions host =
                new RecordingActions(
                        RecordingActions.settings(Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
                        4);
        ListedEndpoint drained = new ListedEndpoint(1, 0, 0, 0, EndpointPhase.DRAINING, 0, 1);
        host.balancer.onEndpointList(host.now, EndpointListKind.CHANGES, List.of(drained));
        for (int i = 0; i < 200; i++) {
            host.request("r" + i);
            host.endLastAttempt(0, AttemptResult.SERVED, 2000, true);
        }
        assertEquals(200, host.sent.size());
        assertTrue(host.sent.stream().noneMatch(s -> s.server() == 1));
    }

    @Test
    void oldestQueuedRequestIsRejectedBeyondMaxOpenRequests() {
        BalancerSettings defaults =
                RecordingActions.settings(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL);
        BalancerSettings equalWeights =
                new SettingsBuilder(defaults).tenants(List.of()).overQuotaWeight(1).build();
        RecordingActions host = new RecordingActions(equalWeights, 0);
        for (int i = 0; i < 103; i++) {
            host.request("x" + i);
        }
        assertEquals(List.of("x0", "x1", "x2"), host.rejected);
        assertTrue(host.failed.isEmpty());
    }

    @Test
    void queuedRequestIsRejectedOnceBeforeItsDeadline() {
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

    /** A request that arrived at its deadline used to be queued and never got a response. */
    @Test
    void requestThatArrivesAtItsDeadlineIsRejectedAtOnce() {
        RecordingActions host =
                new RecordingActions(
                        RecordingActions.settings(Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
                        4);
        host.balancer.onRequest(host.now, new Request("x", 0, 0, false, -1, host.now, false));
        assertEquals(List.of("x"), host.rejected);
        assertTrue(host.sent.isEmpty());
    }

    /**
     * The queues of servers used to be filled right after the start, before any response was
     * received. Such servers became slow and never recovered.
     */
    @Test
    void serversThatHaveNotRespondedYetAreSentFewRequests() {
        RecordingActions host =
                new RecordingActions(
                        RecordingActions.settings(
                                Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL),
                        4);
        for (int i = 0; i < 100; i++) {
            host.request("r" + i);
        }
        // Each of the 4 servers has the initial concurrency limit of 3, so 12 requests are sent.
        assertEquals(12, host.sent.size());
    }

    /**
     * Guards against a fault in which overloaded servers never recovered. Each of many sidecars
     * always had one attempt in flight at each of these servers. A sidecar must therefore pause
     * between attempts at an overloaded server.
     */
    @Test
    void overloadedServersAreSentNoRequestsDuringAPause() {
        RecordingActions host =
                new RecordingActions(
                        RecordingActions.settings(
                                Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL),
                        3);
        int sent = 0;
        host.request("slow0");
        while (host.sent.size() > sent && sent < 40) {
            sent++;
            host.endLastAttempt(0, AttemptResult.SERVED, 190_000, true);
            host.request("slow" + sent);
        }
        assertTrue(sent >= 2 && sent < 40, sent + " requests sent before a pause");
        host.now += 900_000;
        host.balancer.onEndpointList(host.now, EndpointListKind.CHANGES, List.of());
        assertTrue(host.sent.size() > sent, "no request was sent after the pause");
    }

    @Test
    void serverInSlowStartIsSentAReducedShareOfTheRequests() {
        RecordingActions host =
                new RecordingActions(
                        RecordingActions.settings(Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
                        4);
        long warm = sendAndCountAtFirstServer(host, "warm", 200);
        host.balancer.onEndpointList(
                host.now,
                EndpointListKind.CHANGES,
                List.of(RecordingActions.server(1, 0, host.now)));
        long cold = sendAndCountAtFirstServer(host, "cold", 200);
        // The 200 requests take 2 s, since each response takes 10 ms. Slow start takes 10 s, so the
        // share of the server grows from 0.2 to 0.36 in that time.
        assertTrue(
                cold > 0 && cold <= 0.45 * warm,
                cold + " requests in slow start, " + warm + " before");
    }

    /**
     * Sends requests one after another, and returns the number of attempts that were sent to server
     * 1.
     */
    private static long sendAndCountAtFirstServer(
            RecordingActions host, String idPrefix, int requests) {
        int before = host.sent.size();
        for (int i = 0; i < requests; i++) {
            host.request(idPrefix + i);
            host.endLastAttempt(0, AttemptResult.SERVED, 10_000, true);
        }
        return host.sent.stream().skip(before).filter(s -> s.server() == 1).count();
    }

    /**
     * Requests used to be queued up to their deadline. They occupied client connections that were
     * needed for requests which could still be served in time.
     */
    @Test
    void queuedRequestsAreRejectedBeforeHalfwayToTheirDeadlineWhileManyAreOpen() {
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
        assertTrue(host.rejected.size() >= 50, host.rejected.size() + " requests rejected");
    }

    /**
     * A corrupt response or a connection reset must not be treated as a restart of the server. A
     * restart would put the server into slow start.
     */
    @Test
    void serverIsNotPutIntoSlowStartAfterABrokenConnection() {
        RecordingActions host =
                new RecordingActions(
                        RecordingActions.settings(Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
                        4);
        long before = sendAndCountAtFirstServer(host, "before", 200);
        boolean broke = false;
        for (int i = 0; i < 100 && !broke; i++) {
            host.request("x" + i);
            broke = host.sent.get(host.sent.size() - 1).server() == 1;
            host.endLastAttempt(
                    0, broke ? AttemptResult.BROKEN : AttemptResult.SERVED, 10_000, true);
        }
        assertTrue(broke);
        host.now += 20_000_000;
        long after = sendAndCountAtFirstServer(host, "after", 200);
        assertTrue(
                after >= 0.6 * before,
                after + " requests after the broken connection, " + before + " before");
    }

    /**
     * The first responses after a start are slow for reasons other than load. These responses used
     * to cut the concurrency limits even of idle servers. The idle servers were then sent hardly
     * any requests.
     */
    @ParameterizedTest
    @CsvSource({"0.1, true", "0.9, false"})
    void slowResponsesCutTheLimitsOfBusyServersOnly(double utilization, boolean limitKept) {
        BalancerSettings defaults =
                RecordingActions.settings(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL);
        RecordingActions host =
                new RecordingActions(
                        new SettingsBuilder(defaults)
                                .loadReportSource(LoadReportSource.ANSWERS)
                                .build(),
                        4);
        LoadReport report =
                new LoadReport(
                        Double.NaN, Double.NaN, utilization, Double.NaN, Double.NaN, Double.NaN);
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
        // Without a cut, the concurrency limit of each of the 4 servers is at least the initial
        // limit of 3, so at least 12 requests are sent at once.
        assertEquals(limitKept, host.sent.size() - before >= 12);
    }

    @Test
    void serverThatNeverRespondsIsSentFewRequests() {
        RecordingActions host =
                new RecordingActions(
                        RecordingActions.settings(
                                Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL),
                        4);
        int withoutResponse = 0;
        for (int i = 0; i < 300; i++) {
            host.request("r" + i);
            if (host.sent.get(host.sent.size() - 1).server() == 2) {
                withoutResponse++;
                host.now += 20_000;
            } else {
                host.endLastAttempt(0, AttemptResult.SERVED, 20_000, true);
            }
        }
        assertTrue(
                withoutResponse <= 8,
                "sent " + withoutResponse + " requests to a server that never responds");
    }

    @Test
    void serverThatFailsFastIsSentFewRequests() {
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
            host.endLastAttempt(
                    0, bad ? AttemptResult.ERROR : AttemptResult.SERVED, bad ? 500 : 20_000, !bad);
        }
        assertTrue(failing <= 20, "sent " + failing + " requests to a server that always fails");
    }

    @Test
    void errorMessageNamesTheInvalidSetting() {
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

    /** Runs random valid events; {@link RandomEventRun} checks the actions that follow. */
    @ParameterizedTest
    @EnumSource(Idempotency.class)
    void randomEventsNeverLeadToAForbiddenAction(Idempotency idempotency) {
        RandomEventRun randomRun = new RandomEventRun(idempotency);
        randomRun.run(6000);
        assertTrue(
                randomRun.requestsSent() > 300,
                "only " + randomRun.requestsSent() + " requests were sent");
    }

    @Test
    void identicalEventsGiveIdenticalActions() {
        RecordingActions first =
                new RecordingActions(
                        RecordingActions.settings(Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
                        6);
        RecordingActions second =
                new RecordingActions(
                        RecordingActions.settings(Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
                        6);
        for (int i = 0; i < 200; i++) {
            for (RecordingActions host : List.of(first, second)) {
                host.balancer.onRequest(
                        host.now,
                        new Request("r" + i, 0, i % 2, false, -1, host.now + 1_000_000, false));
                host.endLastAttempt(
                        0,
                        i % 9 == 0 ? AttemptResult.REJECTED : AttemptResult.SERVED,
                        3000 + i,
                        i % 9 != 0);
            }
        }
        assertEquals(first.actions, second.actions);
    }

    /**
     * The emulator counts rejected and failed requests by these reasons. In the case with CANCELLED
     * there are no servers, so the request is queued until it is rejected.
     */
    @ParameterizedTest
    @CsvSource({
        "NOT_IDEMPOTENT, ERROR, NOT_RETRYABLE",
        "IDEMPOTENCY_KEY, REJECTED, MAX_ATTEMPTS",
        "IDEMPOTENCY_KEY, CANCELLED, QUEUE_TIMEOUT"
    })
    void rejectedOrFailedRequestCarriesItsReason(
            Idempotency idempotency, AttemptResult result, RejectionReason reason) {
        RecordingActions host =
                new RecordingActions(
                        RecordingActions.settings(idempotency, DeduplicationScope.ALL),
                        result == AttemptResult.CANCELLED ? 0 : 8);
        host.request("a");
        for (int attempt = 0; attempt < 8 && host.reasons.isEmpty(); attempt++) {
            if (host.sent.size() > attempt) {
                host.endLastAttempt(attempt, result, 1, false);
            } else {
                host.fireTimers();
            }
        }
        assertEquals(List.of(reason), host.reasons);
    }
}
