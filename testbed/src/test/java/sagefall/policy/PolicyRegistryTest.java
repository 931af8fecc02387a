package sagefall.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
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
            return new FleetSimulation(scenario, 5, p).run();
        }
    }

    private static String figures(SimulationResult r) {
        return r.g() + " " + r.events() + " " + r.attemptsPerRequest() + " " + r.latency();
    }

    /** The load balancer recompiled, or over the wire, gives the same result to the bit. */
    @Test
    void decisionsAreTheSameCompiledAndOverTheWire() throws Exception {
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

    /** A mechanism whose tunables were renamed must not look like one without effect. */
    @ParameterizedTest
    @EnumSource(Mechanism.class)
    void eachMechanismCanBeSwitchedOff(Mechanism m) throws Exception {
        PolicyRegistry.of("module-without:" + m.word(), ROOT).close();
    }

    @Test
    void switchingAMechanismOffShowsInTheAnswers() throws Exception {
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
    void unknownPolicyIsOneLine(String policy, String line) {
        String message =
                assertThrows(PolicyException.class, () -> PolicyRegistry.of(policy, ROOT))
                        .getMessage();
        assertEquals(line, message.substring(0, Math.min(line.length(), message.length())));
    }

    /** The policy files of an older checkout, which were written against another interface. */
    @Test
    void policyFilesOfAnotherBuildAreOneLine(@TempDir Path checkout) throws Exception {
        Files.createDirectories(checkout.resolve("deploy"));
        Files.writeString(
                checkout.resolve("deploy/balancer.toml"), "policy = [\"OldChoice.java\"]\n");
        Files.writeString(
                checkout.resolve("OldChoice.java"),
                "package old; class OldChoice implements LoadBalancer { final int SPILL = 1; }");
        String message =
                assertThrows(
                                PolicyException.class,
                                () -> PolicyRegistry.of("module:OldChoice.SPILL=2", checkout))
                        .getMessage();
        assertEquals(
                "module:OldChoice.SPILL=2: OldChoice.SPILL is no tunable of the policy files",
                message);

        Files.writeString(
                checkout.resolve("OldChoice.java"),
                "package old; class OldChoice implements LoadBalancer {"
                        + " private static final int SPILL = 1; }");
        message =
                assertThrows(
                                PolicyException.class,
                                () -> PolicyRegistry.of("module:SPILL=2", checkout))
                        .getMessage();
        assertEquals(1, message.lines().count());
        assertTrue(
                message.startsWith(
                        "module:SPILL=2: the policy files do not compile against this build: "),
                message);
    }
}
