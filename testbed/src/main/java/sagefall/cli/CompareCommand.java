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

/** {@code sagefall compare}: simulates two policies on the same seeds and compares them. */
@Command(
        name = "compare",
        mixinStandardHelpOptions = true,
        description =
                "Simulates two policies on the same seeds, and prints their differences with"
                        + " confidence intervals.")
final class CompareCommand implements Callable<Integer> {

    /**
     * A cause of loss is printed only if its share of the offered value exceeds this number for at
     * least one of the two policies.
     */
    private static final double MIN_PRINTED_SHARE = 0.001;

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
            description = "the policy that A is compared with, in the forms of --a")
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
        for (PairedDifference difference : comparison.keptShareByCause().values()) {
            if (Math.abs(difference.meanA()) > MIN_PRINTED_SHARE
                    || Math.abs(difference.meanB()) > MIN_PRINTED_SHARE) {
                printRow(difference);
            }
        }
        experiment.report(HtmlReport.of(comparison));
        List<SimulationResult> all = new ArrayList<>(comparison.a());
        all.addAll(comparison.b());
        return experiment.printViolations(all, scenario);
    }

    /** Prints the header of the rows of {@link #printRow}. */
    static void printHeader() {
        System.out.printf("%-34s %7s %7s %7s  %-17s%n", "", "A", "B", "B - A", "95 % interval");
    }

    /**
     * Prints the row of one compared quantity: its mean for A, its mean for B, the difference, the
     * confidence interval and the verdict.
     */
    static void printRow(PairedDifference difference) {
        System.out.printf(
                Locale.ROOT,
                "%-34s %7.3f %7.3f %+7.3f  %+.3f to %+.3f  %s%n",
                difference.figure(),
                difference.meanA(),
                difference.meanB(),
                difference.mean(),
                difference.low(),
                difference.high(),
                difference.verdict());
    }
}
