package sagefall.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks the names of mechanisms on the command line and in tables. */
class MechanismNamesTest {

    private static final List<String> NAMES =
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
    void mechanismIsFoundByItsCommandLineName() throws PolicyException {
        assertEquals(NAMES, Arrays.stream(Mechanism.values()).map(Mechanism::label).toList());
        for (String name : NAMES) {
            assertEquals(name, Mechanism.of(name).label());
        }
    }

    @Test
    void errorForAnUnknownNameListsAllNames() {
        assertEquals(
                "no mechanism 'zone_limit', only " + String.join(", ", NAMES),
                assertThrows(PolicyException.class, () -> Mechanism.of("zone_limit")).getMessage());
    }
}
