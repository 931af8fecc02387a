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

/** The words of {@code days.jsonl} and of the tables that come from names of enums. */
class SimulationResultWordsTest {

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
        public void submit(ClientRequest call, boolean repeat) {
            throw new AssertionError("tried again");
        }

        @Override
        public void disconnectClient(ClientRequest call) {
            throw new AssertionError("left");
        }
    }

    /** The ledger once a request, too late for a further try, has been answered so. */
    private static ValueAccounting answered(ClientAnswer answer, RejectionReason reason)
            throws Exception {
        Scenario scenario = Scenario.load("calm", List.of());
        EventQueue loop = new EventQueue();
        RandomStreams draws = new RandomStreams(1);
        int zones = scenario.fleet().zones().size();
        ValueAccounting ledger =
                new ValueAccounting(
                        (int) Math.ceil(scenario.seconds()), zones, scenario.tenants().size(), 1);
        SidecarHandle sidecar = new OneSidecar();
        List<SidecarHandle> sidecars = Collections.nCopies(scenario.fleet().sidecars(), sidecar);
        ClientTraffic traffic =
                new ClientTraffic(
                        scenario,
                        draws,
                        new ClientTraffic.Environment(
                                loop,
                                sidecars,
                                ledger,
                                new EmulatedNetwork(scenario.network(), draws, zones)),
                        UNSAFE,
                        1);
        ClientOperation wish =
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
        wish.sidecar = sidecar;
        ClientRequest call =
                new ClientRequest(
                        "0000000000000000",
                        wish,
                        EventQueue.START_MICROS,
                        EventQueue.START_MICROS + SECOND);
        traffic.deliverAnswer(call, answer, reason, 0);
        loop.runUntil(EventQueue.START_MICROS + SECOND);
        return ledger;
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
    void answersAndCausesOfLoss(ClientAnswer answer, RejectionReason reason, String word)
            throws Exception {
        ValueAccounting ledger = answered(answer, reason);
        assertEquals(Map.of(word, 1L), ledger.answers);
        assertEquals(List.of(word), List.copyOf(ledger.lost.keySet()));
    }

    @Test
    void theTableHasAllAnswersAndReasons() {
        assertEquals(
                List.of("served", "refused", "failed"),
                Arrays.stream(ClientAnswer.values()).map(ClientAnswer::label).toList());
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
    void faultsOfADay() throws Exception {
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

    /** The keys of {@code days.jsonl}, which scripts read. */
    @Test
    void keysOfADay() throws Exception {
        Scenario scenario =
                Scenario.load(
                        "calm", List.of("fleet.servers=12", "fleet.sidecars=4", "seconds=31"));
        try (Policy policy = PolicyRegistry.of("module", Path.of("."))) {
            JsonNode day =
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
                    keys(day));
            assertEquals(List.of("what", "from", "to"), keys(day.path("troubles").path(0)));
            assertEquals(List.of("p50", "p95", "p99"), keys(day.path("latency")));
            assertEquals(
                    List.of("worth", "count", "beyondShareWorth"),
                    keys(day.path("lost").elements().next()));
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
                    keys(day.path("series")));
        }
    }

    private static List<String> keys(JsonNode object) {
        List<String> keys = new ArrayList<>();
        object.fieldNames().forEachRemaining(keys::add);
        return keys;
    }

    /** Written as they are, to {@code days.jsonl} and after {@code BROKEN}. */
    @Test
    void rules() {
        assertEquals(
                List.of("ONE_ANSWER", "EFFECT", "DRAIN", "COLD", "LISTED", "ATTEMPTS"),
                Arrays.stream(InvariantChecker.Rule.values()).map(String::valueOf).toList());
    }
}
