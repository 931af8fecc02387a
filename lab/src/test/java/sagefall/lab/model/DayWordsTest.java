package sagefall.lab.model;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import sagefall.LoadBalancer.Effect;
import sagefall.LoadBalancer.Group;
import sagefall.LoadBalancer.Reason;
import sagefall.LoadBalancer.RequestClass;
import sagefall.lab.policy.Policies;
import sagefall.lab.policy.Policy;
import sagefall.lab.scenario.Scenario;

/** The words of {@code days.jsonl} and of the tables that come from names of enums. */
class DayWordsTest {

    private static final long SECOND = 1_000_000;
    private static final RequestClass UNSAFE =
            new RequestClass(
                    "unsafe", Effect.UNSAFE, Group.ALL, 0, SECOND, 2 * SECOND, 1, 0, false);

    private static final class OneSidecar implements Door {
        @Override
        public int index() {
            return 0;
        }

        @Override
        public int zone() {
            return 0;
        }

        @Override
        public boolean up() {
            return true;
        }

        @Override
        public boolean leaving() {
            return false;
        }

        @Override
        public String prefix() {
            return "000000";
        }

        @Override
        public void take(Call call, boolean repeat) {
            throw new AssertionError("tried again");
        }

        @Override
        public void leave(Call call) {
            throw new AssertionError("left");
        }
    }

    /** The ledger once a request, too late for a further try, has been answered so. */
    private static Ledger answered(Sidecar.Answer answer, Reason reason) throws Exception {
        Scenario scenario = Scenario.load("calm", List.of());
        Loop loop = new Loop();
        Draws draws = new Draws(1);
        int zones = scenario.fleet().zones().size();
        Ledger ledger =
                new Ledger(
                        (int) Math.ceil(scenario.seconds()), zones, scenario.tenants().size(), 1);
        Door sidecar = new OneSidecar();
        List<Door> sidecars = Collections.nCopies(scenario.fleet().sidecars(), sidecar);
        Traffic traffic =
                new Traffic(
                        scenario,
                        draws,
                        loop,
                        sidecars,
                        ledger,
                        new Network(scenario.net(), draws, zones),
                        UNSAFE,
                        1);
        Wish wish = new Wish(0, Loop.BEGIN, Loop.BEGIN, 0, 0, false, 1, 1, zones);
        wish.sidecar = sidecar;
        Call call = new Call("0000000000000000", wish, Loop.BEGIN, Loop.BEGIN + SECOND);
        traffic.answer(call, answer, reason, 0);
        loop.runUntil(Loop.BEGIN + SECOND);
        return ledger;
    }

    @ParameterizedTest
    @CsvSource({
        "REFUSED, ADMISSION, refused admission",
        "REFUSED, ZONE_FULL, refused zone_full",
        "REFUSED, WAITED, refused waited",
        "REFUSED, IN_HAND, refused in_hand",
        "REFUSED, BUFFERS, refused buffers",
        "REFUSED, TOO_LATE, refused too_late",
        "REFUSED, EFFECT, refused effect",
        "REFUSED, ATTEMPTS, refused attempts",
        "REFUSED, RETRY_BUDGET, refused retry_budget",
        "REFUSED, , unanswered",
        "FAILED, ADMISSION, failed admission",
        "FAILED, ZONE_FULL, failed zone_full",
        "FAILED, WAITED, failed waited",
        "FAILED, IN_HAND, failed in_hand",
        "FAILED, BUFFERS, failed buffers",
        "FAILED, TOO_LATE, failed too_late",
        "FAILED, EFFECT, failed effect",
        "FAILED, ATTEMPTS, failed attempts",
        "FAILED, RETRY_BUDGET, failed retry_budget",
        "FAILED, , unanswered"
    })
    void answersAndCausesOfLoss(Sidecar.Answer answer, Reason reason, String word)
            throws Exception {
        Ledger ledger = answered(answer, reason);
        assertEquals(Map.of(word, 1L), ledger.answers);
        assertEquals(List.of(word), List.copyOf(ledger.lost.keySet()));
    }

    @Test
    void theTableHasAllAnswersAndReasons() {
        assertEquals(
                List.of("SERVED", "REFUSED", "FAILED"),
                Arrays.stream(Sidecar.Answer.values()).map(Enum::name).toList());
        assertEquals(
                List.of(
                        "ADMISSION",
                        "ZONE_FULL",
                        "WAITED",
                        "IN_HAND",
                        "BUFFERS",
                        "TOO_LATE",
                        "EFFECT",
                        "ATTEMPTS",
                        "RETRY_BUDGET"),
                Arrays.stream(Reason.values()).map(Enum::name).toList());
    }

    @Test
    void faultsOfADay() throws Exception {
        Scenario scenario =
                Scenario.load(
                        "calm", List.of("fleet.servers=12", "fleet.sidecars=4", "seconds=31"));
        try (Policy policy = Policies.of("module", Path.of("."))) {
            DayResult result = new Day(scenario, 1, policy).play();
            assertEquals(
                    List.of("burst", "shift"),
                    result.troubles().stream().map(DayResult.Trouble::what).toList());
        }
    }

    /** Written as they are, to {@code days.jsonl} and after {@code BROKEN}. */
    @Test
    void rules() {
        assertEquals(
                List.of("ONE_ANSWER", "EFFECT", "DRAIN", "COLD", "LISTED", "ATTEMPTS"),
                Arrays.stream(Rules.Rule.values()).map(String::valueOf).toList());
    }
}
