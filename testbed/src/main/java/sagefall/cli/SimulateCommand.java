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
import sagefall.policy.PolicyRegistry;
import sagefall.report.HtmlReport;
import sagefall.scenario.Scenario;

/** One policy on one scenario. */
@Command(
        name = "run",
        mixinStandardHelpOptions = true,
        description = "Plays a scenario and tells what was served and why the rest was lost.")
public final class SimulateCommand implements Callable<Integer> {

    private static final int CAUSES = 4;

    @Parameters(paramLabel = "SCENARIO", description = "a shipped scenario, or a TOML file")
    private String scenario;

    @Option(names = "--policy", defaultValue = "module", description = PolicyRegistry.HELP)
    private String policy;

    @Mixin private ExperimentOptions setting;

    @Override
    public Integer call() throws Exception {
        Scenario loaded = setting.scenario(scenario);
        List<SimulationRequest> plays = new ArrayList<>();
        for (long seed : setting.seeds()) {
            plays.add(new SimulationRequest(loaded, seed, policy));
        }
        List<SimulationResult> results = setting.plays().runAll(plays, setting.listener());
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
        setting.report(HtmlReport.of(results));
        return setting.breaches(results, scenario);
    }

    /** The largest causes of loss, as parts of what was asked for. */
    private static String losses(SimulationResult r) {
        return String.join(
                ", ",
                r.losses().stream()
                        .limit(CAUSES)
                        .map(e -> String.format(Locale.ROOT, "%s %.3f", e.getKey(), e.getValue()))
                        .toList());
    }
}
