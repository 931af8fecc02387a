package sagefall.lab.command;

import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import sagefall.lab.policy.Mechanism;
import sagefall.lab.policy.Policies;
import sagefall.lab.scenario.Scenario;

/** What there is to play. */
@Command(
        name = "scenarios",
        mixinStandardHelpOptions = true,
        description =
                "Lists the shipped scenarios, the policies and the mechanisms that can be switched "
                        + "off.")
public final class Scenarios implements Callable<Integer> {

    @Override
    public Integer call() throws Exception {
        for (String name : Scenario.SHIPPED) {
            System.out.printf(
                    Locale.ROOT, "%-16s %s%n", name, Scenario.load(name, List.of()).about());
        }
        System.out.println("policies: " + Policies.HELP);
        for (Mechanism m : Mechanism.values()) {
            System.out.printf(Locale.ROOT, "%-16s %s%n", m.word(), m.about());
        }
        return 0;
    }
}
