package sagefall.cli;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;
import sagefall.emulator.FleetSimulation;
import sagefall.emulator.SimulationResult;
import sagefall.faultinjection.FaultInjectionRun;
import sagefall.faultinjection.plan.RunPlan;
import sagefall.faultinjection.report.RunResult;
import sagefall.faultinjection.report.RunStatistics;
import sagefall.load.SidecarChildProcess;
import sagefall.policy.Policy;
import sagefall.policy.PolicyException;
import sagefall.policy.PolicyRegistry;
import sagefall.scenario.ScenarioException;
import sagefall.scenario.ScenarioRunner;

/**
 * {@code sagefall inject-faults agree}: runs scenarios in the emulator and with real processes.
 * Prints the values of the two runners side by side.
 */
@Command(
        name = "agree",
        mixinStandardHelpOptions = true,
        description =
                "Runs scenarios in the emulator and with real processes, and prints the"
                        + " figures of both side by side.")
final class AgreeCommand implements Callable<Integer> {

    private static final String REFUSED = "refused";
    private static final String FAILED = "failed";

    @Parameters(
            arity = "1..*",
            paramLabel = "SCENARIO",
            description = "scenarios whose faults both the emulator and real processes support")
    private List<String> scenarios;

    @Mixin private SeedOptions seeds;

    @Mixin private FaultInjectionOptions options;

    @Override
    public Integer call()
            throws IOException, ScenarioException, PolicyException, InterruptedException {
        System.out.println(
                "scenario, seed               served        attempts       crossings      "
                        + "refused        failed         p50 ms       p95 ms");
        boolean violated = false;
        for (String scenario : scenarios) {
            for (long seed : seeds.all()) {
                violated |= compare(scenario, seed);
            }
        }
        return ExitStatus.of(violated);
    }

    private boolean compare(String scenario, long seed)
            throws IOException, ScenarioException, PolicyException, InterruptedException {
        RunPlan plan = options.plan(scenario, seed);
        SimulationResult emulated = simulate(plan, seed);
        RunResult real =
                FaultInjectionRun.execute(
                        plan, options.directory("agree-" + scenario + "-" + seed));
        print(scenario, seed, emulated, real);
        if (!real.isViolated()) {
            real.directory().delete();
        }
        return real.isViolated();
    }

    private static SimulationResult simulate(RunPlan plan, long seed)
            throws IOException, ScenarioException, PolicyException, InterruptedException {
        try (Policy policy = PolicyRegistry.of("module", SidecarChildProcess.ROOT)) {
            return new FleetSimulation(
                            plan.scenario().requireSupportedBy(ScenarioRunner.EMULATOR),
                            seed,
                            policy)
                    .run();
        }
    }

    /**
     * Prints a row. Each quantity has two values: first that of the emulator, then that of the real
     * processes.
     */
    private static void print(
            String scenario, long seed, SimulationResult emulated, RunResult result) {
        RunStatistics real = result.statistics();
        String verdict = result.verdict();
        System.out.printf(
                Locale.ROOT,
                "%-18s %3d  %.3f %.3f   %.3f %.3f   %.3f %.3f   %.4f %.4f"
                        + "   %.4f %.4f   %4.0f %4.0f   %4.0f %4.0f%s%n",
                scenario,
                seed,
                emulated.served(),
                real.served(),
                emulated.attemptsPerRequest(),
                real.attempts(),
                emulated.crossingsPerRequest(),
                real.crossZoneAttempts(),
                perRequest(emulated, REFUSED),
                perRequest(real, REFUSED),
                perRequest(emulated, FAILED),
                perRequest(real, FAILED),
                emulated.latency().p50(),
                real.p50Millis(),
                emulated.latency().p95(),
                real.p95Millis(),
                verdict.isEmpty() ? "" : "  " + verdict);
    }

    /**
     * Returns the number of rejections and failures divided by the number of requests. Only
     * rejections and failures whose description begins with {@code prefix} are counted, including
     * those that were retried.
     */
    private static double perRequest(SimulationResult result, String prefix) {
        long count =
                result.answers().entrySet().stream()
                        .filter(entry -> entry.getKey().startsWith(prefix))
                        .mapToLong(Map.Entry::getValue)
                        .sum();
        return count / (double) result.requests();
    }

    /** Returns the share of the requests that have the given outcome. */
    private static double perRequest(RunStatistics statistics, String outcome) {
        return statistics.requestsByOutcome().getOrDefault(outcome, 0L)
                / (double) statistics.operations();
    }
}
