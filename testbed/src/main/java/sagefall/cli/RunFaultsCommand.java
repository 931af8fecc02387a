package sagefall.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;
import sagefall.faultinjection.plan.RunPlan;
import sagefall.faultinjection.report.RunResult;
import sagefall.scenario.ScenarioException;

/** {@code sagefall inject-faults run}: runs scenarios with real processes. */
@Command(
        name = "run",
        mixinStandardHelpOptions = true,
        description = "Runs scenarios with real processes; about half a minute each.")
final class RunFaultsCommand implements Callable<Integer> {

    @Parameters(
            arity = "1..*",
            paramLabel = "SCENARIO",
            description = "a shipped scenario (inject-faults scenarios), or a TOML file")
    private List<String> scenarios;

    @Mixin private SeedOptions seeds;

    @Mixin private FaultInjectionOptions options;

    @Override
    public Integer call() throws IOException, ScenarioException, InterruptedException {
        boolean violated = false;
        for (String scenario : scenarios) {
            for (long seed : seeds.all()) {
                RunPlan plan = options.plan(scenario, seed);
                plan.scenario(); // Throws if the scenario is malformed.
                System.out.println(scenario + ", seed " + seed);
                RunResult result =
                        options.execute(plan, Path.of(scenario).getFileName() + "-" + seed);
                result.print(System.out);
                violated |= result.isViolated();
            }
        }
        return ExitStatus.of(violated);
    }
}
