package sagefall.cli;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sagefall.emulator.SimulationResult;
import sagefall.experiment.SimulationRequest;
import sagefall.policy.PolicyException;
import sagefall.policy.PolicyRegistry;
import sagefall.report.HtmlReport;
import sagefall.scenario.Scenario;
import sagefall.scenario.ScenarioException;

/** {@code sagefall simulate}: one policy on one scenario. */
@Command(
        name = "simulate",
        mixinStandardHelpOptions = true,
        description = "Simulates a scenario, and prints what was served and why the rest was lost.")
final class SimulateCommand implements Callable<Integer> {

    private static final int MAX_CAUSES = 4;

    @Parameters(paramLabel = "SCENARIO", description = ExperimentOptions.SCENARIO_HELP)
    private String scenario;

    @Option(
            names = "--policy",
            defaultValue = "module",
            paramLabel = "POLICY",
            description = PolicyRegistry.HELP)
    private String policy;

    @Mixin private ExperimentOptions experiment;

    @Override
    public Integer call() throws IOException, ScenarioException, PolicyException {
        Scenario loaded = experiment.scenario(scenario);
        List<SimulationRequest> requests = new ArrayList<>();
        for (long seed : experiment.seeds()) {
            requests.add(new SimulationRequest(loaded, seed, policy));
        }
        List<SimulationResult> results =
                experiment.simulations().runAll(requests, experiment.listener());
        System.out.println(
                " seed      G  served  worst10s  attempts  cross  setups    p50    p95  lost "
                        + "most by");
        for (SimulationResult r : results) {
            System.out.printf(
                    Locale.ROOT,
                    "%5d  %.3f   %.3f     %.3f     %.3f  %.3f   %.3f  %5.0f  %5.0f  %s%n",
                    r.seed(),
                    r.g(),
                    r.served(),
                    r.worstTenSeconds(),
                    r.attemptsPerRequest(),
                    r.crossingsPerRequest(),
                    r.setupsPerRequest(),
                    r.latency().p50(),
                    r.latency().p95(),
                    losses(r));
        }
        experiment.report(HtmlReport.of(results));
        return experiment.printViolations(results, scenario);
    }

    /** The largest causes of loss, as parts of the offered value. */
    private static String losses(SimulationResult r) {
        return String.join(
                ", ",
                r.losses().stream()
                        .limit(MAX_CAUSES)
                        .map(e -> String.format(Locale.ROOT, "%s %.3f", e.getKey(), e.getValue()))
                        .toList());
    }
}
