package sagefall.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;
import sagefall.emulator.SimulationResult;
import sagefall.experiment.PairedDifference;
import sagefall.experiment.PolicyComparison;
import sagefall.policy.Mechanism;

/** Each mechanism of the module off in turn. */
@Command(
        name = "ablate",
        mixinStandardHelpOptions = true,
        description = "Switches each mechanism of the module off in turn and tells what it earns.")
public final class AblateCommand implements Callable<Integer> {

    @Parameters(
            paramLabel = "SCENARIO",
            arity = "1..*",
            description = "shipped scenarios, or TOML files")
    private List<String> scenarios;

    @Mixin private ExperimentOptions setting;

    @Override
    public Integer call() throws Exception {
        int status = 0;
        for (String scenario : scenarios) {
            System.out.println(
                    scenario
                            + ": G of the module as it is (A), without the mechanism (B), "
                            + setting.seeds().size()
                            + " seeds");
            CompareCommand.header();
            for (Mechanism m : Mechanism.values()) {
                PolicyComparison c =
                        PolicyComparison.of(
                                setting.plays(),
                                setting.scenario(scenario),
                                setting.seeds(),
                                "module",
                                "module-without:" + m.word(),
                                setting.listener());
                PairedDifference g = c.differences().get(0);
                System.out.printf(
                        Locale.ROOT,
                        "%-34s %7.3f %7.3f %+7.3f  %+.3f to %+.3f  %s%n",
                        m.word(),
                        g.meanA(),
                        g.meanB(),
                        g.mean(),
                        g.low(),
                        g.high(),
                        verdict(g));
                List<SimulationResult> all = new ArrayList<>(c.b());
                all.addAll(c.a());
                status |= setting.breaches(all, scenario);
            }
        }
        return status;
    }

    private static String verdict(PairedDifference g) {
        return g.verdict().replace("B is better", "it costs").replace("B is worse", "it earns");
    }
}
