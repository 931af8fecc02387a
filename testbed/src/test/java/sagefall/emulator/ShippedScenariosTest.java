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
 * The shipped scenarios with fixed seeds: no invariant is broken, and results are the same to the
 * bit on any number of threads.
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
    void noInvariantIsBrokenAndMostIsServed() throws Exception {
        for (SimulationResult r : run(4, List.of("module"))) {
            assertEquals(List.of(), r.breaches(), r.scenario());
            assertTrue(r.served() > 0.4, r.scenario() + ": " + r.served());
            double lost =
                    r.lost().values().stream().mapToDouble(SimulationResult.Loss::value).sum();
            assertEquals(
                    r.offeredValue() * (1 - r.served()),
                    lost,
                    1e-6 * r.offeredValue(),
                    "each loss has a cause");
        }
    }

    @Test
    void resultsAreTheSameOnAnyNumberOfThreads() throws Exception {
        List<SimulationRequest> requests = new ArrayList<>();
        for (long seed = 1; seed <= 8; seed++) {
            requests.add(new SimulationRequest(Scenario.load("flap", List.of()), seed, "module"));
        }
        List<String> one =
                new ParallelSimulations(1, Path.of(".."), null)
                        .runAll(requests, r -> {}).stream()
                                .map(ShippedScenariosTest::figures)
                                .toList();
        assertEquals(
                one,
                new ParallelSimulations(8, Path.of(".."), null)
                        .runAll(requests, r -> {}).stream()
                                .map(ShippedScenariosTest::figures)
                                .toList());
    }

    private static String figures(SimulationResult r) {
        return r.g() + " " + r.events() + " " + r.lost() + " " + r.latency() + " " + r.answers();
    }
}
