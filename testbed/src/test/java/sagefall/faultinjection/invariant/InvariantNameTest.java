package sagefall.faultinjection.invariant;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The names of the invariants, written as they are to the report and after {@code BROKEN}. */
class InvariantNameTest {

    @Test
    void rules() {
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
