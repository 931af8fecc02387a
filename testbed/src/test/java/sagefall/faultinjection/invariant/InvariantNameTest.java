package sagefall.faultinjection.invariant;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the names of the invariants, which are part of the report and of the printed result. */
class InvariantNameTest {

    @Test
    void invariantsHaveTheNamesOfReportsAndPrintedResults() {
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
