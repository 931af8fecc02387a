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

/** {@code sagefall simulate}: simulates one policy on one scenario. */
@Command(
        name = "simulate",
        mixinStandardHelpOptions = true,
        description =
                "Simulates a scenario, and prints the share of the value that was served and the"
                        + " causes of the loss.")
final class SimulateCommand implements Callable<Integer> {

    private static final int MAX_PRINTED_CAUSES = 4;

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
        for (SimulationResult result : results) {
            System.out.printf(
                    Locale.ROOT,
                    "%5d  %.3f   %.3f     %.3f     %.3f  %.3f   %.3f  %5.0f  %5.0f  %s%n",
                    result.seed(),
                    result.g(),
                    result.served(),
                    result.worstTenSeconds(),
                    result.attemptsPerRequest(),
                    result.crossingsPerRequest(),
                    result.setupsPerRequest(),
                    result.latency().p50(),
                    result.latency().p95(),
                    losses(result));
        }
        experiment.report(HtmlReport.of(results));
        return experiment.printViolations(results, scenario);
    }

    /** Returns the largest causes of loss, each with its share of the offered value. */
    private static String losses(SimulationResult result) {
        return String.join(
                ", ",
                result.losses().stream()
                        .limit(MAX_PRINTED_CAUSES)
                        .map(
                                loss ->
                                        String.format(
                                                Locale.ROOT,
                                                "%s %.3f",
                                                loss.getKey(),
                                                loss.getValue()))
                        .toList());
    }
}
