package sagefall.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;
import sagefall.faultinjection.FaultInjectionRun;
import sagefall.faultinjection.plan.RunPlan;
import sagefall.faultinjection.report.RunResult;
import sagefall.scenario.ScenarioException;

/** {@code sagefall inject-faults shrink}. */
@Command(
        name = "shrink",
        mixinStandardHelpOptions = true,
        description =
                "Reduces the plan of a failed run to the fewest faults that still fail; writes"
                        + " shrunk.json beside it.")
final class ShrinkCommand implements Callable<Integer> {

    /** Runs of each candidate, as a failure may depend on timing. */
    private static final int RUNS = 3;

    @Parameters(paramLabel = "PLAN", description = "plan.json of a failed run")
    private Path file;

    @Mixin private FaultInjectionOptions options;

    @Override
    public Integer call() throws IOException, ScenarioException, InterruptedException {
        RunPlan plan = RunPlan.read(file);
        List<Integer> faults = plan.faults();
        int failures = failures(plan);
        System.out.printf(
                "all %d faults: violated in %d of %d runs%n", faults.size(), failures, RUNS);
        if (failures == 0) {
            return ExitStatus.OK;
        }
        for (int i = faults.size() - 1; i >= 0; i--) {
            List<Integer> fewer = new ArrayList<>(faults);
            fewer.remove(i);
            int now = failures(plan.withFaults(fewer));
            System.out.printf(
                    "without fault %d: violated in %d of %d runs%n", faults.get(i), now, RUNS);
            if (now >= failures) {
                faults = fewer;
                failures = now;
            }
        }
        Path shrunk = file.resolveSibling("shrunk.json");
        plan.withFaults(faults).write(shrunk);
        System.out.printf(
                "faults %s violate it in %d of %d runs: ./sagefall inject-faults replay %s%n",
                faults, failures, RUNS, shrunk);
        return ExitStatus.FAILED;
    }

    private int failures(RunPlan plan) throws IOException, ScenarioException, InterruptedException {
        int failures = 0;
        for (int i = 0; i < RUNS; i++) {
            RunResult result = FaultInjectionRun.execute(plan, options.directory("shrink"));
            failures += result.isViolated() ? 1 : 0;
            result.directory().delete();
        }
        return failures;
    }
}
