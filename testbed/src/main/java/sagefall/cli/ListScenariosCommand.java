package sagefall.cli;

import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import sagefall.policy.Mechanism;
import sagefall.policy.PolicyRegistry;
import sagefall.scenario.Scenario;

/** What there is to play. */
@Command(
        name = "scenarios",
        mixinStandardHelpOptions = true,
        description =
                "Lists the shipped scenarios, the policies and the mechanisms that can be switched "
                        + "off.")
public final class ListScenariosCommand implements Callable<Integer> {

    @Override
    public Integer call() throws Exception {
        for (String name : Scenario.EMULATOR_NAMES) {
            System.out.printf(
                    Locale.ROOT, "%-16s %s%n", name, Scenario.load(name, List.of()).description());
        }
        System.out.println("policies: " + PolicyRegistry.HELP);
        for (Mechanism m : Mechanism.values()) {
            System.out.printf(Locale.ROOT, "%-16s %s%n", m.word(), m.about());
        }
        return 0;
    }
}
