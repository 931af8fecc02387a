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

/** {@code sagefall inject-faults shrink}: reduces a failing plan to fewer faults. */
@Command(
        name = "shrink",
        mixinStandardHelpOptions = true,
        description =
                "Tries to remove each fault from the plan of a failed run. A fault stays out if"
                        + " runs without it violate an invariant as often. Writes shrunk.json"
                        + " beside the plan.")
final class ShrinkCommand implements Callable<Integer> {

    /**
     * Number of runs of each candidate plan. One run is not enough, because a violation may depend
     * on timing.
     */
    private static final int RUNS_PER_CANDIDATE = 3;

    @Parameters(paramLabel = "PLAN", description = "plan.json of a failed run")
    private Path file;

    @Mixin private FaultInjectionOptions options;

    @Override
    public Integer call() throws IOException, ScenarioException, InterruptedException {
        RunPlan plan = RunPlan.read(file);
        List<Integer> faults = plan.faults();
        int violatedRuns = countViolatedRuns(plan);
        System.out.printf(
                "all %d faults: %d of %d runs violate an invariant%n",
                faults.size(), violatedRuns, RUNS_PER_CANDIDATE);
        if (violatedRuns == 0) {
            return ExitStatus.OK;
        }
        for (int i = faults.size() - 1; i >= 0; i--) {
            List<Integer> candidate = new ArrayList<>(faults);
            candidate.remove(i);
            int candidateViolatedRuns = countViolatedRuns(plan.withFaults(candidate));
            System.out.printf(
                    "without fault %d: %d of %d runs violate an invariant%n",
                    faults.get(i), candidateViolatedRuns, RUNS_PER_CANDIDATE);
            if (candidateViolatedRuns >= violatedRuns) {
                faults = candidate;
                violatedRuns = candidateViolatedRuns;
            }
        }
        Path shrunk = file.resolveSibling("shrunk.json");
        plan.withFaults(faults).write(shrunk);
        System.out.printf(
                "with faults %s: %d of %d runs violate an invariant; replay with:"
                        + " ./sagefall inject-faults replay %s%n",
                faults, violatedRuns, RUNS_PER_CANDIDATE, shrunk);
        return ExitStatus.FAILED;
    }

    /** Returns how many runs of the plan violate an invariant. */
    private int countViolatedRuns(RunPlan plan)
            throws IOException, ScenarioException, InterruptedException {
        int violatedRuns = 0;
        for (int i = 0; i < RUNS_PER_CANDIDATE; i++) {
            RunResult result = FaultInjectionRun.execute(plan, options.directory("shrink"));
            violatedRuns += result.isViolated() ? 1 : 0;
            result.directory().delete();
        }
        return violatedRuns;
    }
}
