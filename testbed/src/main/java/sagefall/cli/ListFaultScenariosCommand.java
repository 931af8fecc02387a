package sagefall.cli;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import sagefall.scenario.Scenario;
import sagefall.scenario.ScenarioException;

/** {@code sagefall inject-faults scenarios}: lists the scenarios for real processes. */
@Command(
        name = "scenarios",
        mixinStandardHelpOptions = true,
        description = "Lists the shipped scenarios for real processes.")
final class ListFaultScenariosCommand implements Callable<Integer> {

    @Override
    public Integer call() throws IOException, ScenarioException {
        for (String name : Scenario.FAULT_INJECTION_NAMES) {
            System.out.printf("%-18s %s%n", name, Scenario.load(name, List.of()).description());
        }
        return ExitStatus.OK;
    }
}
