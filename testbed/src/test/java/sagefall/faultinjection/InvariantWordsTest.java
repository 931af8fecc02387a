package sagefall.faultinjection;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The words of a play's checks, written as they are to its page and after {@code BROKEN}. */
class InvariantWordsTest {

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
                Arrays.stream(InvariantChecks.Rule.values()).map(String::valueOf).toList());
    }
}
