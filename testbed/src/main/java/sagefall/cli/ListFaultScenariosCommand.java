package sagefall.cli;

import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import sagefall.scenario.Scenario;

/** {@code sagefall inject-faults scenarios}. */
@Command(
        name = "scenarios",
        mixinStandardHelpOptions = true,
        description = "Lists the shipped scenarios for real processes.")
final class ListFaultScenariosCommand implements Callable<Integer> {

    @Override
    public Integer call() throws Exception {
        for (String name : Scenario.RIG) {
            System.out.printf("%-18s %s%n", name, Scenario.load(name, List.of()).about());
        }
        return ExitStatus.OK;
    }
}
