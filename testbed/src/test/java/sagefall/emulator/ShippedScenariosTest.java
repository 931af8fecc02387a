package sagefall.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import sagefall.experiment.ParallelSimulations;
import sagefall.experiment.SimulationRequest;
import sagefall.scenario.Scenario;

/**
 * Runs shipped scenarios with fixed seeds. Checks that no invariant is broken and that results are
 * identical to the last digit with one thread and with eight threads.
 */
class ShippedScenariosTest {

    private static List<SimulationResult> run(int threads, List<String> policies) throws Exception {
        List<SimulationRequest> requests = new ArrayList<>();
        for (String name : Scenario.EMULATOR_NAMES) {
            for (String policy : policies) {
                requests.add(new SimulationRequest(Scenario.load(name, List.of()), 11, policy));
            }
        }
        return new ParallelSimulations(threads, Path.of(".."), null).runAll(requests, result -> {});
    }

    @Test
    void shippedScenariosBreakNoInvariantAndLossesSumToUnservedValue() throws Exception {
        for (SimulationResult result : run(4, List.of("module"))) {
            assertEquals(List.of(), result.breaches(), result.scenario());
            assertTrue(
                    result.served() > 0.4, result.scenario() + ": served share " + result.served());
            double lost =
                    result.lost().values().stream().mapToDouble(SimulationResult.Loss::value).sum();
            assertEquals(
                    result.offeredValue() * (1 - result.served()),
                    lost,
                    1e-6 * result.offeredValue(),
                    result.scenario() + ": sum of the lost values by cause");
        }
    }

    @Test
    void resultsAreIdenticalWithOneThreadAndEightThreads() throws Exception {
        List<SimulationRequest> requests = new ArrayList<>();
        for (long seed = 1; seed <= 8; seed++) {
            requests.add(new SimulationRequest(Scenario.load("flap", List.of()), seed, "module"));
        }
        List<String> resultsOnOneThread =
                new ParallelSimulations(1, Path.of(".."), null)
                        .runAll(requests, result -> {}).stream()
                                .map(ShippedScenariosTest::figures)
                                .toList();
        assertEquals(
                resultsOnOneThread,
                new ParallelSimulations(8, Path.of(".."), null)
                        .runAll(requests, result -> {}).stream()
                                .map(ShippedScenariosTest::figures)
                                .toList());
    }

    private static String figures(SimulationResult result) {
        return result.g()
                + " "
                + result.events()
                + " "
                + result.lost()
                + " "
                + result.latency()
                + " "
                + result.answers();
    }
}
