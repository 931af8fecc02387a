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

/**
 * {@code sagefall ablate}: compares the complete balancer with the balancer without one mechanism,
 * for each mechanism in turn.
 */
@Command(
        name = "ablate",
        mixinStandardHelpOptions = true,
        description =
                "Switches off each mechanism of the balancer in turn, and prints how the goal"
                        + " value changes.")
final class AblateCommand implements Callable<Integer> {

    private static final String MODULE_POLICY = "module";
    private static final String WITHOUT_PREFIX = "module-without:";

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
                            + ": goal value G with all mechanisms (A), without the mechanism (B), "
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
                        MODULE_POLICY,
                        WITHOUT_PREFIX + mechanism.label(),
                        experiment.listener());
        PairedDifference goal = comparison.differences().get(0);
        System.out.printf(
                Locale.ROOT,
                "%-34s %7.3f %7.3f %+7.3f  %+.3f to %+.3f  %s%n",
                mechanism.label(),
                goal.meanA(),
                goal.meanB(),
                goal.mean(),
                goal.low(),
                goal.high(),
                verdict(goal));
        List<SimulationResult> results = new ArrayList<>(comparison.b());
        results.addAll(comparison.a());
        return experiment.printViolations(results, scenario);
    }

    /**
     * Returns the verdict as a statement about the mechanism. Policy A has the mechanism, and
     * policy B lacks it.
     */
    private static String verdict(PairedDifference goal) {
        return goal.verdict()
                .replace("B is better", "the mechanism lowers G")
                .replace("B is worse", "the mechanism raises G");
    }
}
