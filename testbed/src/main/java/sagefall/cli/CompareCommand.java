package sagefall.cli;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sagefall.emulator.SimulationResult;
import sagefall.experiment.PairedDifference;
import sagefall.experiment.PolicyComparison;
import sagefall.policy.PolicyException;
import sagefall.policy.PolicyRegistry;
import sagefall.report.HtmlReport;
import sagefall.scenario.ScenarioException;

/** {@code sagefall compare}: two policies on the same seeds. */
@Command(
        name = "compare",
        mixinStandardHelpOptions = true,
        description =
                "Simulates two policies on the same seeds, and prints the difference with a"
                        + " confidence interval.")
final class CompareCommand implements Callable<Integer> {

    private static final double NEGLIGIBLE = 0.001;

    @Parameters(paramLabel = "SCENARIO", description = ExperimentOptions.SCENARIO_HELP)
    private String scenario;

    @Option(
            names = "--a",
            defaultValue = "module",
            paramLabel = "POLICY",
            description = PolicyRegistry.HELP)
    private String policyA;

    @Option(
            names = "--b",
            required = true,
            paramLabel = "POLICY",
            description = "compared with it; the same forms")
    private String policyB;

    @Mixin private ExperimentOptions experiment;

    @Override
    public Integer call() throws IOException, ScenarioException, PolicyException {
        PolicyComparison comparison =
                PolicyComparison.of(
                        experiment.simulations(),
                        experiment.scenario(scenario),
                        experiment.seeds(),
                        policyA,
                        policyB,
                        experiment.listener());
        System.out.println(
                "A: "
                        + policyA
                        + "; B: "
                        + policyB
                        + "; "
                        + comparison.a().size()
                        + " seeds of "
                        + scenario);
        printHeader();
        comparison.differences().forEach(CompareCommand::printRow);
        for (PairedDifference p : comparison.lost().values()) {
            if (Math.abs(p.meanA()) > NEGLIGIBLE || Math.abs(p.meanB()) > NEGLIGIBLE) {
                printRow(p);
            }
        }
        experiment.report(HtmlReport.of(comparison));
        List<SimulationResult> all = new ArrayList<>(comparison.a());
        all.addAll(comparison.b());
        return experiment.printViolations(all, scenario);
    }

    static void printHeader() {
        System.out.printf("%-34s %7s %7s %7s  %-17s%n", "", "A", "B", "B - A", "95 % interval");
    }

    static void printRow(PairedDifference p) {
        System.out.printf(
                Locale.ROOT,
                "%-34s %7.3f %7.3f %+7.3f  %+.3f to %+.3f  %s%n",
                p.figure(),
                p.meanA(),
                p.meanB(),
                p.mean(),
                p.low(),
                p.high(),
                p.verdict());
    }
}
