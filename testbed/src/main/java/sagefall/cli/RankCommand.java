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

/** {@code sagefall rank}: whether builds rank in the emulator as on the operators' bench. */
@Command(
        name = "rank",
        mixinStandardHelpOptions = true,
        description =
                "Simulates builds on scenarios, and compares their order with the bench's figures.")
final class RankCommand implements Callable<Integer> {

    @Option(
            names = "--figures",
            defaultValue = "docs/bench-ranks.toml",
            paramLabel = "FILE",
            description = "builds and what they reached on the bench (${DEFAULT-VALUE})")
    private Path figures;

    @Option(
            names = "--build",
            paramLabel = "NAME=DIR",
            description = "a checkout that $NAME in the policies of the file stands for")
    private Map<String, String> builds = new LinkedHashMap<>();

    @Option(
            names = "--spread",
            defaultValue = "0.02",
            paramLabel = "G",
            description =
                    "differences on the bench up to this count as none: what two runs of one build"
                            + " differ by (${DEFAULT-VALUE})")
    private double spread;

    @Mixin private ExperimentOptions experiment;

    /** A build on a scenario. */
    private record Cell(String scenario, String build) {
        static Cell of(BenchmarkMeasurement play) {
            return new Cell(play.scenario(), play.build());
        }
    }

    @Override
    public Integer call() throws IOException, ScenarioException, PolicyException {
        BenchmarkFigures bench = BenchmarkFigures.load(figures);
        Map<Cell, Double> simulated = simulate(bench);
        double[] onBench = new double[bench.measurements().size()];
        double[] inEmulator = new double[onBench.length];
        System.out.printf(
                "%-10s %-22s %-24s %8s %8s%n",
                "scenario", "build", "day of the bench", "bench G", "emul. G");
        for (int i = 0; i < onBench.length; i++) {
            BenchmarkMeasurement play = bench.measurements().get(i);
            onBench[i] = play.g();
            inEmulator[i] = simulated.get(Cell.of(play));
            System.out.printf(
                    Locale.ROOT,
                    "%-10s %-22s %-24s %8.3f %8.3f%n",
                    play.scenario(),
                    play.build(),
                    play.day(),
                    onBench[i],
                    inEmulator[i]);
        }
        System.out.printf(
                Locale.ROOT,
                "Spearman's rank correlation over all %d: %.2f%n",
                onBench.length,
                new SpearmansCorrelation().correlation(onBench, inEmulator));
        printPairs(bench, simulated);
        return ExitStatus.OK;
    }

    /** Mean G of each build on each scenario. */
    private Map<Cell, Double> simulate(BenchmarkFigures bench)
            throws IOException, ScenarioException, PolicyException {
        TreeSet<Cell> cells =
                new TreeSet<>(Comparator.comparing(Cell::scenario).thenComparing(Cell::build));
        bench.measurements().forEach(play -> cells.add(Cell.of(play)));
        List<SimulationRequest> requests = new ArrayList<>();
        for (Cell cell : cells) {
            for (long seed : experiment.seeds()) {
                requests.add(
                        new SimulationRequest(
                                experiment.scenario(cell.scenario),
                                seed,
                                policy(bench, cell.build)));
            }
        }
        List<SimulationResult> results =
                experiment.simulations().runAll(requests, experiment.listener());
        Map<Cell, Double> means = new LinkedHashMap<>();
        int seeds = experiment.seeds().size();
        int from = 0;
        for (Cell cell : cells) {
            means.put(cell, meanG(results.subList(from, from + seeds)));
            from += seeds;
        }
        return means;
    }

    private static double meanG(List<SimulationResult> results) {
        return results.stream().mapToDouble(SimulationResult::g).average().orElse(0);
    }

    /** The policy of a build, with the checkouts of {@code --build} put in. */
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

    /** Of all pairs of builds on the same day, how many rank in the same order here. */
    private void printPairs(BenchmarkFigures bench, Map<Cell, Double> simulated) {
        int same = 0;
        int all = 0;
        for (BenchmarkMeasurement a : bench.measurements()) {
            for (BenchmarkMeasurement b : bench.measurements()) {
                if (!a.day().equals(b.day()) || a.g() + spread >= b.g()) {
                    continue;
                }
                all++;
                if (simulated.get(Cell.of(a)) < simulated.get(Cell.of(b))) {
                    same++;
                }
            }
        }
        System.out.printf("builds on the same day in the same order: %d of %d%n", same, all);
    }
}
