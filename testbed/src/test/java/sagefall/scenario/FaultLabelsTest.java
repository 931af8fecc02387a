package sagefall.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks the names of fault kinds and modes in scenario files and in error messages. */
class FaultLabelsTest {

    private static final String ALL_KINDS =
            "lose_zone, flap_zone, cut_zone, lose_servers, slow, "
                    + "shared_slow, errors, pauses, neighbour, "
                    + "burst, shift, surge, replace, kill_sidecars, restart_sidecars, "
                    + "late_lists, discovery_down, lost_answers, resets, leavers, stubborn, deaf, "
                    + "reborn, "
                    + "stop_sidecars, slow_sidecars, cut_sidecars, flap_links, delay_links, "
                    + "cut_bytes, power_loss, "
                    + "drain, wrong_clock, slow_clients, stop_owner, kill_owner";

    private static Scenario read(String kind, String furtherLines) throws ScenarioException {
        return Scenario.read(
                "f.toml",
                "name='x'\nabout='x'\n[[fault]]\nkind='" + kind + "'\n" + furtherLines,
                List.of());
    }

    private static String errorMessage(String kind, String furtherLines) {
        return assertThrows(ScenarioException.class, () -> read(kind, furtherLines)).getMessage();
    }

    @Test
    void errorForAnUnknownKindListsAllKinds() {
        assertEquals("f.toml:4: fault[0].kind: 'x' is none of " + ALL_KINDS, errorMessage("x", ""));
    }

    @Test
    void faultKindIsFoundByItsNameInScenario() throws ScenarioException {
        List<String> names = List.of(ALL_KINDS.split(", ", -1));
        List<FaultKind> kinds = new ArrayList<>();
        for (String name : names) {
            kinds.add(read(name, "").faults().get(0).kind());
        }
        assertEquals(List.of(FaultKind.values()), kinds);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "lose_zone",
                "flap_zone",
                "cut_zone",
                "lose_servers",
                "slow",
                "shared_slow",
                "errors",
                "pauses",
                "neighbour",
                "burst",
                "shift",
                "replace",
                "kill_sidecars",
                "restart_sidecars",
                "late_lists",
                "discovery_down",
                "lost_answers",
                "resets",
                "leavers",
                "stubborn",
                "deaf",
                "reborn",
                "stop_sidecars",
                "slow_sidecars",
                "cut_sidecars",
                "flap_links",
                "delay_links",
                "cut_bytes",
                "power_loss",
                "drain",
                "wrong_clock",
                "slow_clients",
                "stop_owner",
                "kill_owner"
            })
    void tenantIsRejectedForKindThatDoesNotTakeIt(String kind) {
        assertEquals(
                "f.toml:5: fault[0].tenant: does not apply to " + kind,
                errorMessage(kind, "tenant='x'\n"));
    }

    @Test
    void zoneIsRejectedForTenantSurge() {
        assertEquals(
                "f.toml:5: fault[0].zone: does not apply to surge",
                errorMessage("surge", "zone='a'\n"));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "reborn",
                "stop_sidecars",
                "slow_sidecars",
                "cut_sidecars",
                "flap_links",
                "delay_links",
                "cut_bytes",
                "power_loss",
                "drain",
                "wrong_clock",
                "slow_clients",
                "stop_owner",
                "kill_owner"
            })
    void emulatorRejectsKindsThatOnlyFaultInjectionSupports(String kind) throws ScenarioException {
        Scenario scenario = read(kind, "");
        assertSame(scenario, scenario.requireSupportedBy(ScenarioRunner.FAULT_INJECTION));
        assertEquals(
                "f.toml:4: fault[0].kind: the emulator cannot inject " + kind,
                assertThrows(
                                ScenarioException.class,
                                () -> scenario.requireSupportedBy(ScenarioRunner.EMULATOR))
                        .getMessage());
    }

    @Test
    void faultInjectionRejectsNoisyNeighbour() throws ScenarioException {
        Scenario scenario = read("neighbour", "");
        assertSame(scenario, scenario.requireSupportedBy(ScenarioRunner.EMULATOR));
        assertEquals(
                "f.toml:4: fault[0].kind: the rig cannot inject neighbour",
                assertThrows(
                                ScenarioException.class,
                                () -> scenario.requireSupportedBy(ScenarioRunner.FAULT_INJECTION))
                        .getMessage());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "cut_zone | both, in, out",
                "cut_sidecars | both, in, out",
                "flap_links | both, in, out",
                "replace | late, early",
                "power_loss | fresh, stale",
                "lose_zone | silent, refuse",
                "flap_zone | silent, refuse",
                "lose_servers | silent, refuse",
                "reborn | silent, refuse"
            })
    void kindAcceptsOnlyItsModesAndTheFirstIsTheDefault(String kind, String modes)
            throws ScenarioException {
        assertEquals(
                "f.toml:5: fault[0].how: 'x' is none of " + modes, errorMessage(kind, "how='x'\n"));
        for (String mode : modes.split(", ", -1)) {
            assertEquals(mode, read(kind, "how='" + mode + "'\n").faults().get(0).mode().label());
        }
        assertEquals(modes.split(", ", -1)[0], read(kind, "").faults().get(0).mode().label());
    }
}
