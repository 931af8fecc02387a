package sagefall.cli;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import sagefall.faultinjection.plan.RunPlan;
import sagefall.faultinjection.plan.ScenarioGenerator;
import sagefall.faultinjection.report.RunResult;
import sagefall.scenario.ScenarioException;

/**
 * {@code sagefall inject-faults campaign}: runs randomly generated scenarios for a given time, and
 * counts those that violate an invariant.
 */
@Command(
        name = "campaign",
        mixinStandardHelpOptions = true,
        description = "Generates scenarios from seeds, and runs them for a given time.")
final class CampaignCommand implements Callable<Integer> {

    private static final double NANOS_PER_MINUTE = 60e9;

    @Option(
            names = "--minutes",
            defaultValue = "30",
            description = "minutes after which no further run is started (${DEFAULT-VALUE})")
    private double minutes;

    @Option(
            names = "--seed",
            defaultValue = "1",
            paramLabel = "N",
            description = "seed of the first run; each run has the next seed (${DEFAULT-VALUE})")
    private long firstSeed;

    @Mixin private FaultInjectionOptions options;

    @Override
    public Integer call() throws IOException, ScenarioException, InterruptedException {
        long endNanos = System.nanoTime() + (long) (NANOS_PER_MINUTE * minutes);
        TreeMap<String, Integer> runsByFaultKind = new TreeMap<>();
        int runCount = 0;
        int violatedRuns = 0;
        for (long seed = firstSeed; System.nanoTime() < endNanos; seed++) {
            RunPlan plan = plan(seed);
            RunResult result = options.execute(plan, "campaign-" + seed);
            List<String> kinds = faultKinds(plan);
            kinds.forEach(kind -> runsByFaultKind.merge(kind, 1, Integer::sum));
            runCount++;
            violatedRuns += result.isViolated() ? 1 : 0;
            print(seed, kinds, result);
        }
        System.out.println(
                runCount
                        + " runs, "
                        + violatedRuns
                        + " violated an invariant; faults injected: "
                        + runsByFaultKind);
        return ExitStatus.of(violatedRuns > 0);
    }

    private RunPlan plan(long seed) {
        return new RunPlan(
                "campaign-" + seed + ".toml",
                ScenarioGenerator.text(seed),
                options.overrides(),
                seed,
                null, // All faults of the scenario.
                options.builds());
    }

    private static List<String> faultKinds(RunPlan plan) throws ScenarioException {
        return plan.scenario().faults().stream().map(fault -> fault.kind().label()).toList();
    }

    private static void print(long seed, List<String> kinds, RunResult result) {
        String verdict = result.verdict();
        System.out.printf(
                Locale.ROOT,
                "seed %d: %s; served %.3f, worst second %.3f%s%n",
                seed,
                kinds,
                result.statistics().served(),
                result.statistics().worstSecond(),
                verdict.isEmpty() ? "" : ", " + verdict);
        if (result.isViolated()) {
            result.print(System.out);
        }
    }
}
