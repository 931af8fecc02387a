package sagefall.cli;

import java.nio.file.Path;
import java.util.ArrayList;
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
import sagefall.scenario.BenchmarkFigures;
import sagefall.scenario.BenchmarkMeasurement;

/** Whether builds rank in the laboratory as they did on the operators' bench. */
@Command(
        name = "rank",
        mixinStandardHelpOptions = true,
        description =
                "Plays builds on scenarios and compares their order with the bench's figures.")
public final class RankCommand implements Callable<Integer> {

    @Option(
            names = "--figures",
            defaultValue = "docs/bench-ranks.toml",
            paramLabel = "FILE",
            description = "builds and what they reached on the bench (${DEFAULT-VALUE})")
    private Path figures;

    @Option(
            names = "--build",
            paramLabel = "NAME=DIR",
            description = "a folder that $NAME in the file's policies stands for")
    private Map<String, String> folders = new LinkedHashMap<>();

    @Option(
            names = "--spread",
            defaultValue = "0.02",
            description =
                    "differences on the bench that are none: what "
                            + "two plays of one build differ by (${DEFAULT-VALUE})")
    private double spread;

    @Mixin private ExperimentOptions setting;

    @Override
    public Integer call() throws Exception {
        BenchmarkFigures bench = BenchmarkFigures.load(figures);
        Map<String, Double> lab = play(bench);
        double[] onBench = new double[bench.measurements().size()];
        double[] inLab = new double[onBench.length];
        System.out.printf(
                "%-10s %-22s %-24s %8s %8s%n",
                "scenario", "build", "day of the bench", "bench G", "lab G");
        for (int i = 0; i < onBench.length; i++) {
            BenchmarkMeasurement p = bench.measurements().get(i);
            onBench[i] = p.g();
            inLab[i] = lab.get(p.scenario() + "\n" + p.build());
            System.out.printf(
                    Locale.ROOT,
                    "%-10s %-22s %-24s %8.3f %8.3f%n",
                    p.scenario(),
                    p.build(),
                    p.day(),
                    onBench[i],
                    inLab[i]);
        }
        System.out.printf(
                Locale.ROOT,
                "Spearman's rank correlation over all %d: %.2f%n",
                onBench.length,
                new SpearmansCorrelation().correlation(onBench, inLab));
        pairs(bench, lab);
        return 0;
    }

    /** Mean G of each build on each scenario. */
    private Map<String, Double> play(BenchmarkFigures bench) throws Exception {
        TreeSet<String> cells = new TreeSet<>();
        bench.measurements().forEach(p -> cells.add(p.scenario() + "\n" + p.build()));
        List<SimulationRequest> plays = new ArrayList<>();
        for (String cell : cells) {
            String build = cell.substring(cell.indexOf('\n') + 1);
            String policy =
                    bench.builds().stream()
                            .filter(b -> b.name().equals(build))
                            .findFirst()
                            .orElseThrow()
                            .policy();
            for (Map.Entry<String, String> folder : folders.entrySet()) {
                policy = policy.replace("$" + folder.getKey(), folder.getValue());
            }
            for (long seed : setting.seeds()) {
                plays.add(
                        new SimulationRequest(
                                setting.scenario(cell.substring(0, cell.indexOf('\n'))),
                                seed,
                                policy));
            }
        }
        List<SimulationResult> results = setting.plays().runAll(plays, setting.listener());
        Map<String, Double> means = new LinkedHashMap<>();
        int seeds = setting.seeds().size();
        int at = 0;
        for (String cell : cells) {
            means.put(
                    cell,
                    results.subList(at, at + seeds).stream()
                            .mapToDouble(SimulationResult::g)
                            .average()
                            .orElse(0));
            at += seeds;
        }
        return means;
    }

    /** Of all pairs of builds on the same day, how many stand in the same order here. */
    private void pairs(BenchmarkFigures bench, Map<String, Double> lab) {
        int same = 0;
        int all = 0;
        for (BenchmarkMeasurement a : bench.measurements()) {
            for (BenchmarkMeasurement b : bench.measurements()) {
                if (a.day().equals(b.day()) && a.g() + spread < b.g()) {
                    all++;
                    same +=
                            lab.get(a.scenario() + "\n" + a.build())
                                            < lab.get(b.scenario() + "\n" + b.build())
                                    ? 1
                                    : 0;
                }
            }
        }
        System.out.printf("builds on the same day in the same order: %d of %d%n", same, all);
    }
}
