package sagefall.cli;

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
import sagefall.policy.PolicyRegistry;
import sagefall.report.HtmlReport;

/** Two policies on the same days. */
@Command(
        name = "compare",
        mixinStandardHelpOptions = true,
        description =
                "Plays two policies on the same seeds and tells the difference with an interval.")
public final class CompareCommand implements Callable<Integer> {

    private static final double SMALL = 0.001;

    @Parameters(paramLabel = "SCENARIO", description = "a shipped scenario, or a TOML file")
    private String scenario;

    @Option(names = "--a", defaultValue = "module", description = PolicyRegistry.HELP)
    private String a;

    @Option(names = "--b", required = true, description = "the same")
    private String b;

    @Mixin private ExperimentOptions setting;

    @Override
    public Integer call() throws Exception {
        PolicyComparison c =
                PolicyComparison.of(
                        setting.plays(),
                        setting.scenario(scenario),
                        setting.seeds(),
                        a,
                        b,
                        setting.listener());
        System.out.println("A: " + a + "; B: " + b + "; " + c.a().size() + " seeds of " + scenario);
        header();
        c.differences().forEach(CompareCommand::row);
        for (PairedDifference p : c.lost().values()) {
            if (Math.abs(p.meanA()) > SMALL || Math.abs(p.meanB()) > SMALL) {
                row(p);
            }
        }
        setting.report(HtmlReport.of(c));
        List<SimulationResult> all = new ArrayList<>(c.a());
        all.addAll(c.b());
        return setting.breaches(all, scenario);
    }

    static void header() {
        System.out.printf("%-34s %7s %7s %7s  %-17s%n", "", "A", "B", "B - A", "95 % interval");
    }

    static void row(PairedDifference p) {
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
