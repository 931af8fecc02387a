package sagefall.faultinjection.invariant;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Checks that the names of the invariants do not change. Reports and printed results contain the
 * names.
 */
class InvariantNameTest {

    @Test
    void invariantNamesAreThoseOfReportsAndPrintedResults() {
        assertEquals(
                List.of(
                        "ONE_ANSWER",
                        "RESTART",
                        "EFFECT",
                        "DRAIN",
                        "COLD",
                        "LISTED",
                        "ATTEMPTS",
                        "CRASH",
                        "REST",
                        "OWNER",
                        "STAND_IN"),
                Arrays.stream(InvariantName.values()).map(String::valueOf).toList());
    }
}
