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
import sagefall.scenario.ScenarioException;

/**
 * {@code sagefall sweep}: simulates a scenario with several values of one parameter. The parameter
 * is a tunable of the balancer or a key of the scenario.
 */
@Command(
        name = "sweep",
        mixinStandardHelpOptions = true,
        description =
                "Simulates a scenario with several values of a tunable of the balancer or of a"
                        + " value of the scenario.")
final class SweepCommand implements Callable<Integer> {

    @Parameters(paramLabel = "SCENARIO", description = ExperimentOptions.SCENARIO_HELP)
    private String scenario;

    @Option(
            names = "--vary",
            required = true,
            paramLabel = "NAME=V1,V2,...",
            description =
                    "a tunable such as SPILL_RATIO or ConcurrencyLimiter.MIN_LIMIT,"
                            + " or a value of the scenario such as load.use")
    private String vary;

    @Option(
            names = "--policy",
            defaultValue = "module",
            paramLabel = "POLICY",
            description = PolicyRegistry.HELP)
    private String policy;

    @Mixin private ExperimentOptions experiment;

    @Override
    public Integer call() throws IOException, ScenarioException, PolicyException {
        if (!vary.matches("[^=]+=[^=]+")) {
            throw new PolicyException("--vary: '" + vary + "' is not NAME=V1,V2,...");
        }
        String name = vary.substring(0, vary.indexOf('='));
        String[] values = vary.substring(vary.indexOf('=') + 1).split(",", 0);
        List<SimulationRequest> requests = new ArrayList<>();
        for (String value : values) {
            for (long seed : experiment.seeds()) {
                requests.add(request(name, value, seed));
            }
        }
        List<SimulationResult> results =
                experiment.simulations().runAll(requests, experiment.listener());
        int seeds = experiment.seeds().size();
        System.out.printf("%-12s %7s %7s %9s %9s%n", name, "G", "served", "worst10s", "least G");
        for (int i = 0; i < values.length; i++) {
            printRow(values[i], results.subList(i * seeds, (i + 1) * seeds));
        }
        return experiment.printViolations(results, scenario);
    }

    private SimulationRequest request(String name, String value, long seed)
            throws IOException, ScenarioException, PolicyException {
        String setting = name + "=" + value;
        if (isTunable(name)) {
            return new SimulationRequest(experiment.scenario(scenario), seed, "module:" + setting);
        }
        return new SimulationRequest(experiment.scenario(scenario, setting), seed, policy);
    }

    /**
     * Returns whether the name is that of a tunable. A tunable is named like a Java constant,
     * optionally with its class. The name of a scenario's key is in lower case.
     */
    private static boolean isTunable(String name) {
        return name.substring(name.indexOf('.') + 1).matches("[A-Z0-9_]+");
    }

    private static void printRow(String value, List<SimulationResult> results) {
        System.out.printf(
                Locale.ROOT,
                "%-12s %7.3f %7.3f %9.3f %9.3f%n",
                value,
                results.stream().mapToDouble(SimulationResult::g).average().orElse(0),
                results.stream().mapToDouble(SimulationResult::served).average().orElse(0),
                results.stream().mapToDouble(SimulationResult::worstTenSeconds).average().orElse(0),
                results.stream().mapToDouble(SimulationResult::g).min().orElse(0));
    }
}
