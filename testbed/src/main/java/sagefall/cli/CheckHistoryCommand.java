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

/**
 * {@code sagefall inject-faults check}: checks the invariants again on the recorded history of an
 * earlier run.
 */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description =
                "Checks the recorded history of an earlier run for violated invariants, and"
                        + " rewrites its report.")
final class CheckHistoryCommand implements Callable<Integer> {

    /**
     * Placeholder for the time until the processes are ready, in seconds. A check starts no
     * processes, so there is no such time.
     */
    private static final double READY_SECONDS_NOT_MEASURED = 0;

    @Parameters(paramLabel = "DIR", description = "directory of an earlier run")
    private Path path;

    @Override
    public Integer call() throws IOException, ScenarioException {
        RunDirectory directory = new RunDirectory(path);
        RunPlan.read(directory.plan()); // Throws if the plan is missing or malformed.
        RunResult result = RunResult.evaluate(directory, READY_SECONDS_NOT_MEASURED);
        result.print(System.out);
        return ExitStatus.of(result.isViolated());
    }
}
