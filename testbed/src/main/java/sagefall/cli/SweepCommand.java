package sagefall.cli;

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

/** A range of values of one tunable, or of one figure of the scenario. */
@Command(
        name = "sweep",
        mixinStandardHelpOptions = true,
        description =
                "Plays a range of values of a tunable of the module or of a figure of the"
                        + " scenario.")
public final class SweepCommand implements Callable<Integer> {

    @Parameters(paramLabel = "SCENARIO", description = "a shipped scenario, or a TOML file")
    private String scenario;

    @Option(
            names = "--vary",
            required = true,
            paramLabel = "NAME=V1,V2,...",
            description =
                    "a tunable such as SPILL_RATIO or ConcurrencyLimiter.MIN_LIMIT,"
                            + " or a figure such as load.use")
    private String vary;

    @Option(names = "--policy", defaultValue = "module", description = PolicyRegistry.HELP)
    private String policy;

    @Mixin private ExperimentOptions setting;

    @Override
    public Integer call() throws Exception {
        if (!vary.matches("[^=]+=[^=]+")) {
            throw new PolicyException("--vary: '" + vary + "' is not NAME=V1,V2,...");
        }
        String name = vary.substring(0, vary.indexOf('='));
        boolean tunable = name.substring(name.indexOf('.') + 1).matches("[A-Z0-9_]+");
        String[] values = vary.substring(vary.indexOf('=') + 1).split(",", 0);
        List<SimulationRequest> plays = new ArrayList<>();
        for (String value : values) {
            for (long seed : setting.seeds()) {
                plays.add(
                        new SimulationRequest(
                                tunable
                                        ? setting.scenario(scenario)
                                        : setting.scenario(scenario, name + "=" + value),
                                seed,
                                tunable ? "module:" + name + "=" + value : policy));
            }
        }
        List<SimulationResult> results = setting.plays().all(plays, setting.listener());
        int seeds = setting.seeds().size();
        System.out.printf("%-12s %7s %7s %9s %9s%n", name, "G", "served", "worst10s", "least G");
        for (int v = 0; v < values.length; v++) {
            List<SimulationResult> days = results.subList(v * seeds, (v + 1) * seeds);
            System.out.printf(
                    Locale.ROOT,
                    "%-12s %7.3f %7.3f %9.3f %9.3f%n",
                    values[v],
                    days.stream().mapToDouble(SimulationResult::g).average().orElse(0),
                    days.stream().mapToDouble(SimulationResult::served).average().orElse(0),
                    days.stream()
                            .mapToDouble(SimulationResult::worstTenSeconds)
                            .average()
                            .orElse(0),
                    days.stream().mapToDouble(SimulationResult::g).min().orElse(0));
        }
        return setting.breaches(results, scenario);
    }
}
