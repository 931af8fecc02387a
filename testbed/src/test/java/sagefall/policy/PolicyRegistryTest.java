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

    private static SimulationResult simulate(String specification) throws Exception {
        Scenario scenario =
                Scenario.load(
                        "overload", List.of("fleet.sidecars=40", "fleet.servers=20", "seconds=32"));
        try (Policy policy = PolicyRegistry.of(specification, ROOT)) {
            return new FleetSimulation(scenario, 5, policy).run();
        }
    }

    private static String figures(SimulationResult result) {
        return result.g()
                + " "
                + result.events()
                + " "
                + result.attemptsPerRequest()
                + " "
                + result.latency();
    }

    /**
     * The load balancer of this build must give exactly equal results if it is recompiled with the
     * default value of a tunable, and if it runs in an external process. A changed tunable must
     * change the results.
     */
    @Test
    void resultsDoNotChangeIfModuleIsRecompiledOrRunsInExternalProcess() throws Exception {
        String simulatorCommand =
                Path.of(System.getProperty("java.home"), "bin", "java")
                        + " -cp '"
                        + System.getProperty("java.class.path")
                        + "' sagefall.Main simhost";
        String module = figures(simulate("module"));
        assertEquals(module, figures(simulate("module:SPILL_RATIO=1.5")));
        assertEquals(module, figures(simulate("sim:" + simulatorCommand)));
        assertNotEquals(module, figures(simulate("module:SPILL_RATIO=3")));
    }

    /**
     * Guards against a tunable that is renamed while {@link Mechanism} keeps the old name. The
     * mechanism could then not be switched off, and would seem to have no effect.
     */
    @ParameterizedTest
    @EnumSource(Mechanism.class)
    void policyWithoutOneMechanismCanBeCreated(Mechanism mechanism) throws Exception {
        PolicyRegistry.of("module-without:" + mechanism.label(), ROOT).close();
    }

    @Test
    void admissionControlRejectsNothingIfItIsSwitchedOff() throws Exception {
        SimulationResult without = simulate("module-without:admission");
        assertEquals(0, without.answers().getOrDefault("refused admission", 0L));
        assertNotEquals(0, simulate("module").answers().getOrDefault("refused admission", 0L));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "module:SPILL=2; module:SPILL=2: SPILL is not a tunable of the policy files",
                "module:SPILL_RATIO=x; module:SPILL_RATIO=x: 'SPILL_RATIO=x' is not TUNABLE=NUMBER",
                "module-without:luck; no mechanism 'luck'",
                "best; best: no such policy"
            })
    void errorForInvalidSpecificationStatesTheReason(String policy, String messageStart) {
        String message =
                assertThrows(PolicyException.class, () -> PolicyRegistry.of(policy, ROOT))
                        .getMessage();
        assertEquals(
                messageStart,
                message.substring(0, Math.min(messageStart.length(), message.length())));
    }

    /**
     * The policy files of an older checkout may implement another version of {@code LoadBalancer}.
     * The error message must then be one line, not the whole output of the compiler.
     */
    @Test
    void errorForPolicyFilesOfAnotherBuildIsOneLine(@TempDir Path checkout) throws Exception {
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
                "module:OldChoice.SPILL=2: OldChoice.SPILL is not a tunable of the policy files",
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
