package sagefall.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import sagefall.faultinjection.plan.RunDirectory;
import sagefall.faultinjection.plan.RunPlan;
import sagefall.faultinjection.report.RunResult;
import sagefall.scenario.ScenarioException;

/** {@code sagefall inject-faults check}. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = "Checks the recorded history of an earlier run, and rewrites its report.")
final class CheckHistoryCommand implements Callable<Integer> {

    @Parameters(paramLabel = "DIR", description = "the directory of an earlier run")
    private Path path;

    @Override
    public Integer call() throws IOException, ScenarioException {
        RunDirectory directory = new RunDirectory(path);
        RunPlan.read(directory.plan());
        RunResult result = RunResult.judge(directory, 0);
        result.print(System.out);
        return ExitStatus.of(result.isViolated());
    }
}
