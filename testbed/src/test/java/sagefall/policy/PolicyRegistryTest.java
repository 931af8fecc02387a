package sagefall.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import sagefall.emulator.FleetSimulation;
import sagefall.emulator.SimulationResult;
import sagefall.scenario.Scenario;

class PolicyRegistryTest {

    private static final Path ROOT = Path.of("..");

    private static SimulationResult play(String policy) throws Exception {
        Scenario scenario =
                Scenario.load(
                        "overload", List.of("fleet.sidecars=40", "fleet.servers=20", "seconds=32"));
        try (Policy p = PolicyRegistry.of(policy, ROOT)) {
            return new FleetSimulation(scenario, 5, p).play();
        }
    }

    private static String figures(SimulationResult r) {
        return r.g() + " " + r.events() + " " + r.attemptsPerRequest() + " " + r.latency();
    }

    /**
     * The module compiled anew, or spoken to over the wire, is the module: the same day to the bit.
     */
    @Test
    void theSameDecisionsByEveryWay() throws Exception {
        String java =
                Path.of(System.getProperty("java.home"), "bin", "java")
                        + " -cp '"
                        + System.getProperty("java.class.path")
                        + "' sagefall.Main simhost";
        String module = figures(play("module"));
        assertEquals(module, figures(play("module:SPILL_RATIO=1.5")));
        assertEquals(module, figures(play("sim:" + java)));
        assertNotEquals(module, figures(play("module:SPILL_RATIO=3")));
    }

    /** A mechanism whose tunables were renamed must not pass for one that earns nothing. */
    @ParameterizedTest
    @EnumSource(Mechanism.class)
    void eachMechanismCanBeSwitchedOff(Mechanism m) throws Exception {
        PolicyRegistry.of("module-without:" + m.word(), ROOT).close();
    }

    @Test
    void whatAMechanismIsForShowsWhereItIsOff() throws Exception {
        SimulationResult without = play("module-without:admission");
        assertEquals(0, without.answers().getOrDefault("refused admission", 0L));
        assertNotEquals(0, play("module").answers().getOrDefault("refused admission", 0L));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "module:SPILL=2; module:SPILL=2: SPILL is no tunable of the policy files",
                "module:SPILL_RATIO=x; module:SPILL_RATIO=x: 'SPILL_RATIO=x' is not TUNABLE=NUMBER",
                "module-without:luck; no mechanism 'luck'",
                "best; best: no such policy"
            })
    void whatIsNoPolicyCostsOneLine(String policy, String line) {
        String message =
                assertThrows(PolicyException.class, () -> PolicyRegistry.of(policy, ROOT))
                        .getMessage();
        assertEquals(line, message.substring(0, Math.min(line.length(), message.length())));
    }
}
