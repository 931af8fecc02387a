package sagefall.cli;

import java.io.IOException;
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
import sagefall.policy.PolicyException;
import sagefall.scenario.ScenarioException;

/** {@code sagefall ablate}: each mechanism of the module off in turn. */
@Command(
        name = "ablate",
        mixinStandardHelpOptions = true,
        description =
                "Switches each mechanism of the module off in turn, and prints what it"
                        + " contributes.")
final class AblateCommand implements Callable<Integer> {

    private static final String MODULE = "module";
    private static final String WITHOUT = "module-without:";

    @Parameters(
            paramLabel = "SCENARIO",
            arity = "1..*",
            description = ExperimentOptions.SCENARIO_HELP)
    private List<String> scenarios;

    @Mixin private ExperimentOptions experiment;

    @Override
    public Integer call() throws IOException, ScenarioException, PolicyException {
        int status = ExitStatus.OK;
        for (String scenario : scenarios) {
            System.out.println(
                    scenario
                            + ": G of the module as it is (A), without the mechanism (B), "
                            + experiment.seeds().size()
                            + " seeds");
            CompareCommand.printHeader();
            for (Mechanism mechanism : Mechanism.values()) {
                status |= ablate(scenario, mechanism);
            }
        }
        return status;
    }

    private int ablate(String scenario, Mechanism mechanism)
            throws IOException, ScenarioException, PolicyException {
        PolicyComparison comparison =
                PolicyComparison.of(
                        experiment.simulations(),
                        experiment.scenario(scenario),
                        experiment.seeds(),
                        MODULE,
                        WITHOUT + mechanism.word(),
                        experiment.listener());
        PairedDifference g = comparison.differences().get(0);
        System.out.printf(
                Locale.ROOT,
                "%-34s %7.3f %7.3f %+7.3f  %+.3f to %+.3f  %s%n",
                mechanism.word(),
                g.meanA(),
                g.meanB(),
                g.mean(),
                g.low(),
                g.high(),
                verdict(g));
        List<SimulationResult> results = new ArrayList<>(comparison.b());
        results.addAll(comparison.a());
        return experiment.printViolations(results, scenario);
    }

    private static String verdict(PairedDifference g) {
        return g.verdict().replace("B is better", "it costs").replace("B is worse", "it earns");
    }
}
