package sagefall.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sagefall.faultinjection.plan.RunPlan;
import sagefall.faultinjection.report.RunResult;
import sagefall.scenario.ScenarioException;

/** {@code sagefall inject-faults replay}: executes the plan of an earlier run again. */
@Command(
        name = "replay",
        mixinStandardHelpOptions = true,
        description =
                "Executes the plan of an earlier run, with the same faults at the same times.")
final class ReplayCommand implements Callable<Integer> {

    @Parameters(paramLabel = "PLAN", description = "plan.json of an earlier run")
    private Path file;

    @Option(
            names = "--runs",
            defaultValue = "1",
            paramLabel = "N",
            description = "number of runs (${DEFAULT-VALUE})")
    private int runs;

    @Mixin private FaultInjectionOptions options;

    @Override
    public Integer call() throws IOException, ScenarioException, InterruptedException {
        boolean violated = false;
        for (int i = 1; i <= runs; i++) {
            RunResult result = options.execute(RunPlan.read(file), "replay-" + i);
            result.print(System.out);
            violated |= result.isViolated();
        }
        return ExitStatus.of(violated);
    }
}
