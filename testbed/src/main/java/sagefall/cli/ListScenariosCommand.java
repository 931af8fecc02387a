package sagefall.cli;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import sagefall.policy.Mechanism;
import sagefall.policy.PolicyRegistry;
import sagefall.scenario.Scenario;
import sagefall.scenario.ScenarioException;

/** {@code sagefall scenarios}: lists scenarios, policies and mechanisms of the emulator. */
@Command(
        name = "scenarios",
        mixinStandardHelpOptions = true,
        description =
                "Lists the shipped scenarios of the emulator, the policies, and the mechanisms of"
                        + " the balancer that can be switched off.")
final class ListScenariosCommand implements Callable<Integer> {

    @Override
    public Integer call() throws IOException, ScenarioException {
        for (String name : Scenario.EMULATOR_NAMES) {
            System.out.printf(
                    Locale.ROOT, "%-16s %s%n", name, Scenario.load(name, List.of()).description());
        }
        System.out.println("policies: " + PolicyRegistry.HELP);
        for (Mechanism mechanism : Mechanism.values()) {
            System.out.printf(
                    Locale.ROOT, "%-16s %s%n", mechanism.label(), mechanism.description());
        }
        return ExitStatus.OK;
    }
}
