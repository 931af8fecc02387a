package sagefall.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import org.apache.commons.math3.stat.correlation.SpearmansCorrelation;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import sagefall.emulator.SimulationResult;
import sagefall.experiment.SimulationRequest;
import sagefall.policy.PolicyException;
import sagefall.scenario.BenchmarkFigures;
import sagefall.scenario.BenchmarkMeasurement;
import sagefall.scenario.ScenarioException;

/**
 * {@code sagefall rank}: orders builds by their goal value in the emulator, and compares this order
 * with the order of the builds on the operators' bench.
 */
@Command(
        name = "rank",
        mixinStandardHelpOptions = true,
        description =
                "Simulates builds on scenarios, and compares their order by goal value with their"
                        + " order on the bench.")
final class RankCommand implements Callable<Integer> {

    @Option(
            names = "--figures",
            defaultValue = "docs/bench-ranks.toml",
            paramLabel = "FILE",
            description =
                    "file that lists builds and their goal values on the bench (${DEFAULT-VALUE})")
    private Path figures;

    @Option(
            names = "--build",
            paramLabel = "NAME=DIR",
            description = "checkout that replaces $NAME in the policies of the file")
    private Map<String, String> builds = new LinkedHashMap<>();

    @Option(
            names = "--spread",
            defaultValue = "0.02",
            paramLabel = "G",
            description =
                    "difference of goal values between two runs of one build on the bench; builds"
                            + " that differ by no more are not compared (${DEFAULT-VALUE})")
    private double spread;

    @Mixin private ExperimentOptions experiment;

    /** A build that is simulated on a scenario. */
    private record BuildOnScenario(String scenario, String build) {
        static BuildOnScenario of(BenchmarkMeasurement measurement) {
            return new BuildOnScenario(measurement.scenario(), measurement.build());
        }
    }

    @Override
    public Integer call() throws IOException, ScenarioException, PolicyException {
        BenchmarkFigures bench = BenchmarkFigures.load(figures);
        Map<BuildOnScenario, Double> simulated = simulate(bench);
        double[] benchGoals = new double[bench.measurements().size()];
        double[] emulatorGoals = new double[benchGoals.length];
        System.out.printf(
                "%-10s %-22s %-24s %8s %8s%n",
                "scenario", "build", "day of the bench", "bench G", "emul. G");
        for (int i = 0; i < benchGoals.length; i++) {
            BenchmarkMeasurement measurement = bench.measurements().get(i);
            benchGoals[i] = measurement.g();
            emulatorGoals[i] = simulated.get(BuildOnScenario.of(measurement));
            System.out.printf(
                    Locale.ROOT,
                    "%-10s %-22s %-24s %8.3f %8.3f%n",
                    measurement.scenario(),
                    measurement.build(),
                    measurement.runName(),
                    benchGoals[i],
                    emulatorGoals[i]);
        }
        System.out.printf(
                Locale.ROOT,
                "Spearman's rank correlation over all %d: %.2f%n",
                benchGoals.length,
                new SpearmansCorrelation().correlation(benchGoals, emulatorGoals));
        printPairs(bench, simulated);
        return ExitStatus.OK;
    }

    /** Returns the mean goal value of each build on each scenario. */
    private Map<BuildOnScenario, Double> simulate(BenchmarkFigures bench)
            throws IOException, ScenarioException, PolicyException {
        TreeSet<BuildOnScenario> combinations =
                new TreeSet<>(
                        Comparator.comparing(BuildOnScenario::scenario)
                                .thenComparing(BuildOnScenario::build));
        bench.measurements()
                .forEach(measurement -> combinations.add(BuildOnScenario.of(measurement)));
        List<SimulationRequest> requests = new ArrayList<>();
        for (BuildOnScenario combination : combinations) {
            for (long seed : experiment.seeds()) {
                requests.add(
                        new SimulationRequest(
                                experiment.scenario(combination.scenario),
                                seed,
                                policy(bench, combination.build)));
            }
        }
        List<SimulationResult> results =
                experiment.simulations().runAll(requests, experiment.listener());
        Map<BuildOnScenario, Double> means = new LinkedHashMap<>();
        int seeds = experiment.seeds().size();
        int from = 0;
        for (BuildOnScenario combination : combinations) {
            means.put(combination, meanG(results.subList(from, from + seeds)));
            from += seeds;
        }
        return means;
    }

    private static double meanG(List<SimulationResult> results) {
        return results.stream().mapToDouble(SimulationResult::g).average().orElse(0);
    }

    /**
     * Returns the specification of the policy that represents a build. Each {@code $NAME} in the
     * specification is replaced by the checkout that {@code --build} gives.
     */
    private String policy(BenchmarkFigures bench, String build) {
        String policy =
                bench.builds().stream()
                        .filter(each -> each.name().equals(build))
                        .findFirst()
                        .orElseThrow()
                        .policy();
        for (Map.Entry<String, String> checkout : builds.entrySet()) {
            policy = policy.replace("$" + checkout.getKey(), checkout.getValue());
        }
        return policy;
    }

    /**
     * Prints the number of pairs of builds that have the same order on the bench and in the
     * emulator. A pair is counted only if its goal values come from the same run of the bench and
     * differ by more than {@code --spread}.
     */
    private void printPairs(BenchmarkFigures bench, Map<BuildOnScenario, Double> simulated) {
        int sameOrder = 0;
        int pairs = 0;
        for (BenchmarkMeasurement lower : bench.measurements()) {
            for (BenchmarkMeasurement higher : bench.measurements()) {
                if (!lower.runName().equals(higher.runName()) || lower.g() + spread >= higher.g()) {
                    continue;
                }
                pairs++;
                if (simulated.get(BuildOnScenario.of(lower))
                        < simulated.get(BuildOnScenario.of(higher))) {
                    sameOrder++;
                }
            }
        }
        System.out.printf(
                "pairs of builds in the order of the bench: %d of %d%n", sameOrder, pairs);
    }
}
