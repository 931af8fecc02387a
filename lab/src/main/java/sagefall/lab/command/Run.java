package sagefall.lab.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sagefall.lab.experiment.Plays;
import sagefall.lab.model.DayResult;
import sagefall.lab.policy.Policies;
import sagefall.lab.report.HtmlReport;
import sagefall.lab.scenario.Scenario;

/** One policy on one scenario. */
@Command(
        name = "run",
        mixinStandardHelpOptions = true,
        description = "Plays a scenario and tells what was served and why the rest was lost.")
public final class Run implements Callable<Integer> {

    private static final int CAUSES = 4;

    @Parameters(paramLabel = "SCENARIO", description = "a shipped scenario, or a TOML file")
    private String scenario;

    @Option(names = "--policy", defaultValue = "module", description = Policies.HELP)
    private String policy;

    @Mixin private Setting setting;

    @Override
    public Integer call() throws Exception {
        Scenario loaded = setting.scenario(scenario);
        List<Plays.Play> plays = new ArrayList<>();
        for (long seed : setting.seeds()) {
            plays.add(new Plays.Play(loaded, seed, policy));
        }
        List<DayResult> results = setting.plays().all(plays, setting.listener());
        System.out.println(
                " seed      G  served  worst10s  attempts  cross  setups    p50    p95  lost "
                        + "most by");
        for (DayResult r : results) {
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
    private static String losses(DayResult r) {
        return String.join(
                ", ",
                r.losses().stream()
                        .limit(CAUSES)
                        .map(e -> String.format(Locale.ROOT, "%s %.3f", e.getKey(), e.getValue()))
                        .toList());
    }
}
