package sagefall.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import sagefall.balancer.api.DeduplicationScope;
import sagefall.balancer.api.Idempotency;
import sagefall.balancer.api.RejectionReason;
import sagefall.balancer.api.RequestClass;
import sagefall.policy.Policy;
import sagefall.policy.PolicyRegistry;
import sagefall.scenario.Scenario;

/** Checks that the keys and labels in {@code days.jsonl} and in tables do not change. */
class SimulationResultFormatTest {

    private static final long SECOND = 1_000_000;
    private static final RequestClass UNSAFE =
            new RequestClass(
                    "unsafe",
                    Idempotency.NOT_IDEMPOTENT,
                    DeduplicationScope.ALL,
                    0,
                    SECOND,
                    2 * SECOND,
                    1,
                    0,
                    false);

    private static final class OneSidecar implements SidecarHandle {
        @Override
        public int index() {
            return 0;
        }

        @Override
        public int zone() {
            return 0;
        }

        @Override
        public boolean isUp() {
            return true;
        }

        @Override
        public boolean isDraining() {
            return false;
        }

        @Override
        public String requestIdPrefix() {
            return "000000";
        }

        @Override
        public void submit(ClientRequest request, boolean markedAsRetry) {
            throw new AssertionError("unexpected retry");
        }

        @Override
        public void disconnectClient(ClientRequest request) {
            throw new AssertionError("unexpected disconnect");
        }
    }

    /**
     * Returns the accounting after the given final response to a request. The client does not
     * retry, because the deadline of the operation has passed.
     */
    private static ValueAccounting accountingAfter(ResponseKind response, RejectionReason reason)
            throws Exception {
        Scenario scenario = Scenario.load("calm", List.of());
        EventQueue events = new EventQueue();
        RandomStreams streams = new RandomStreams(1);
        int zones = scenario.fleet().zones().size();
        ValueAccounting accounting =
                new ValueAccounting(
                        (int) Math.ceil(scenario.seconds()), zones, scenario.tenants().size(), 1);
        SidecarHandle sidecar = new OneSidecar();
        List<SidecarHandle> sidecars = Collections.nCopies(scenario.fleet().sidecars(), sidecar);
        ClientTraffic traffic =
                new ClientTraffic(
                        scenario,
                        streams,
                        new ClientTraffic.Environment(
                                events,
                                sidecars,
                                accounting,
                                new EmulatedNetwork(scenario.network(), streams, zones)),
                        UNSAFE,
                        1);
        ClientOperation operation =
                new ClientOperation(
                        new ClientOperation.Arrival(
                                0,
                                EventQueue.START_MICROS,
                                EventQueue.START_MICROS,
                                0,
                                0,
                                false,
                                1,
                                1),
                        zones);
        operation.sidecar = sidecar;
        ClientRequest request =
                new ClientRequest(
                        "0000000000000000",
                        operation,
                        EventQueue.START_MICROS,
                        EventQueue.START_MICROS + SECOND);
        traffic.deliverResponse(request, response, reason, 0);
        events.runUntil(EventQueue.START_MICROS + SECOND);
        return accounting;
    }

    @ParameterizedTest
    @CsvSource({
        "REJECTED, ADMISSION, refused admission",
        "REJECTED, ZONE_FULL, refused zone_full",
        "REJECTED, QUEUE_TIMEOUT, refused waited",
        "REJECTED, OPEN_REQUESTS, refused in_hand",
        "REJECTED, BUFFER_LIMIT, refused buffers",
        "REJECTED, TOO_LATE, refused too_late",
        "REJECTED, NOT_RETRYABLE, refused effect",
        "REJECTED, MAX_ATTEMPTS, refused attempts",
        "REJECTED, RETRY_BUDGET, refused retry_budget",
        "REJECTED, , unanswered",
        "FAILED, ADMISSION, failed admission",
        "FAILED, ZONE_FULL, failed zone_full",
        "FAILED, QUEUE_TIMEOUT, failed waited",
        "FAILED, OPEN_REQUESTS, failed in_hand",
        "FAILED, BUFFER_LIMIT, failed buffers",
        "FAILED, TOO_LATE, failed too_late",
        "FAILED, NOT_RETRYABLE, failed effect",
        "FAILED, MAX_ATTEMPTS, failed attempts",
        "FAILED, RETRY_BUDGET, failed retry_budget",
        "FAILED, , unanswered"
    })
    void lossIsRecordedUnderLabelOfResponseAndReason(
            ResponseKind response, RejectionReason reason, String label) throws Exception {
        ValueAccounting accounting = accountingAfter(response, reason);
        assertEquals(Map.of(label, 1L), accounting.unsuccessfulResponses);
        assertEquals(List.of(label), List.copyOf(accounting.lost.keySet()));
    }

    @Test
    void labelsOfResponsesAndReasonsDoNotChange() {
        assertEquals(
                List.of("served", "refused", "failed"),
                Arrays.stream(ResponseKind.values()).map(ResponseKind::label).toList());
        assertEquals(
                List.of(
                        "admission",
                        "zone_full",
                        "waited",
                        "in_hand",
                        "buffers",
                        "too_late",
                        "effect",
                        "attempts",
                        "retry_budget"),
                Arrays.stream(RejectionReason.values()).map(RejectionReason::label).toList());
    }

    @Test
    void labelsOfFaultsDoNotChange() throws Exception {
        Scenario scenario =
                Scenario.load(
                        "calm", List.of("fleet.servers=12", "fleet.sidecars=4", "seconds=31"));
        try (Policy policy = PolicyRegistry.of("module", Path.of("."))) {
            SimulationResult result = new FleetSimulation(scenario, 1, policy).run();
            assertEquals(
                    List.of("burst", "shift"),
                    result.faults().stream().map(InjectedFault::what).toList());
        }
    }

    /** Checks that the keys in {@code days.jsonl} do not change, because scripts read them. */
    @Test
    void keysOfResultLinesDoNotChange() throws Exception {
        Scenario scenario =
                Scenario.load(
                        "calm", List.of("fleet.servers=12", "fleet.sidecars=4", "seconds=31"));
        try (Policy policy = PolicyRegistry.of("module", Path.of("."))) {
            JsonNode line =
                    new ObjectMapper().valueToTree(new FleetSimulation(scenario, 1, policy).run());
            assertEquals(
                    List.of(
                            "scenario",
                            "seed",
                            "policy",
                            "g",
                            "served",
                            "worstTenSeconds",
                            "worstTenant",
                            "price",
                            "askedWorth",
                            "requests",
                            "lost",
                            "answers",
                            "attemptsPerRequest",
                            "crossingsPerRequest",
                            "setupsPerRequest",
                            "wastedWork",
                            "latency",
                            "zones",
                            "series",
                            "heat",
                            "serverZones",
                            "troubles",
                            "breaches",
                            "breachCount",
                            "events"),
                    keys(line));
            assertEquals(List.of("what", "from", "to"), keys(line.path("troubles").path(0)));
            assertEquals(List.of("p50", "p95", "p99"), keys(line.path("latency")));
            assertEquals(
                    List.of("worth", "count", "beyondShareWorth"),
                    keys(line.path("lost").elements().next()));
            assertEquals(
                    List.of(
                            "asked",
                            "served",
                            "lost",
                            "p50",
                            "p95",
                            "p99",
                            "zoneAsked",
                            "zoneServed",
                            "zoneP95",
                            "lostByZone"),
                    keys(line.path("series")));
        }
    }

    private static List<String> keys(JsonNode object) {
        List<String> keys = new ArrayList<>();
        object.fieldNames().forEachRemaining(keys::add);
        return keys;
    }

    /**
     * Checks that the names of invariants do not change. The names are written to {@code
     * days.jsonl}. Commands print the names after {@code BROKEN}.
     */
    @Test
    void namesOfInvariantsDoNotChange() {
        assertEquals(
                List.of("ONE_ANSWER", "EFFECT", "DRAIN", "COLD", "LISTED", "ATTEMPTS"),
                Arrays.stream(InvariantChecker.Rule.values()).map(String::valueOf).toList());
    }
}
