package sagefall.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The words by which mechanisms are named on the command line and in tables. */
class MechanismWordsTest {

    private static final List<String> WORDS =
            List.of(
                    "admission",
                    "zone-limit",
                    "server-limit",
                    "ejection",
                    "slow-start",
                    "spill",
                    "subsets",
                    "retries",
                    "connection-cost",
                    "fair-share",
                    "short-hold",
                    "cells");

    @Test
    void wordOfEachMechanism() throws PolicyException {
        assertEquals(WORDS, Arrays.stream(Mechanism.values()).map(Mechanism::word).toList());
        for (String word : WORDS) {
            assertEquals(word, Mechanism.of(word).word());
        }
    }

    @Test
    void unknownWordIsToldAllWords() {
        assertEquals(
                "no mechanism 'zone_limit', only " + String.join(", ", WORDS),
                assertThrows(PolicyException.class, () -> Mechanism.of("zone_limit")).getMessage());
    }
}
