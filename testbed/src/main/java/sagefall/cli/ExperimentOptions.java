package sagefall.cli;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.slf4j.LoggerFactory;
import picocli.CommandLine.Option;
import sagefall.emulator.InvariantChecker;
import sagefall.emulator.SimulationResult;
import sagefall.experiment.ParallelSimulations;
import sagefall.policy.PolicyException;
import sagefall.report.SimulationResultWriter;
import sagefall.scenario.Scenario;
import sagefall.scenario.ScenarioException;
import sagefall.scenario.ScenarioRunner;

/** The options of all commands that simulate: a picocli mixin. */
final class ExperimentOptions {

    /** Help text of a scenario parameter. */
    static final String SCENARIO_HELP = "a shipped scenario, or a TOML file";

    private static final int MAX_VIOLATIONS = 3;

    @Option(
            names = "--seeds",
            defaultValue = "1-8",
            paramLabel = "LIST",
            description = "seeds, such as 1-8 or 3,5,9 (${DEFAULT-VALUE})")
    private String seeds;

    @Option(
            names = "--threads",
            defaultValue = "0",
            paramLabel = "N",
            description = "simulations at a time; 0: one for each core")
    private int threads;

    @Option(
            names = "--root",
            defaultValue = "${sys:sagefall.root:-.}",
            paramLabel = "DIR",
            description = "checkout of the module's sources, for tunables (${DEFAULT-VALUE})")
    private Path root;

    @Option(
            names = "--set",
            paramLabel = "NAME=VALUE",
            description = "overrides a figure of the scenario, such as fleet.servers=60")
    private List<String> overrides = new ArrayList<>();

    @Option(
            names = "--out",
            paramLabel = "DIR",
            description =
                    "writes days.jsonl, a line for each simulation once it is done, and"
                            + " report.html")
    private Path out;

    @Option(names = "--policy-log", description = "prints what the module logs, to standard error")
    void policyLog(boolean on) {
        ((Logger) LoggerFactory.getLogger("module")).setLevel(on ? Level.DEBUG : Level.INFO);
    }

    Scenario scenario(String name) throws IOException, ScenarioException {
        return Scenario.load(name, overrides).requireSupportedBy(ScenarioRunner.EMULATOR);
    }

    Scenario scenario(String name, String override) throws IOException, ScenarioException {
        List<String> all = new ArrayList<>(overrides);
        all.add(override);
        return Scenario.load(name, all).requireSupportedBy(ScenarioRunner.EMULATOR);
    }

    List<Long> seeds() throws PolicyException {
        List<Long> all = new ArrayList<>();
        for (String part : seeds.split(",", 0)) {
            if (!part.matches("\\d{1,18}(-\\d{1,18})?")) {
                throw new PolicyException(
                        "--seeds: '" + part + "' is neither a number nor FROM-TO");
            }
            String[] ends = part.split("-", 0);
            for (long s = Long.parseLong(ends[0]);
                    s <= Long.parseLong(ends[ends.length - 1]);
                    s++) {
                all.add(s);
            }
        }
        if (all.isEmpty()) {
            throw new PolicyException("--seeds: '" + seeds + "' holds none");
        }
        return all;
    }

    // On Java 17 the console is null where the output is no terminal.
    @SuppressWarnings("SystemConsoleNull")
    ParallelSimulations simulations() {
        int cores = threads > 0 ? threads : Runtime.getRuntime().availableProcessors();
        return new ParallelSimulations(cores, root, System.console() == null ? null : System.err);
    }

    ParallelSimulations.Listener listener() throws IOException {
        return out == null ? result -> {} : new SimulationResultWriter(out);
    }

    /** Writes the HTML report, if {@code --out} was given. */
    void report(String html) throws IOException {
        if (out != null) {
            Files.write(out.resolve("report.html"), html.getBytes(StandardCharsets.UTF_8));
            System.out.println("report: " + out.resolve("report.html"));
        }
    }

    /** Prints violations, each with the command that reproduces it; the exit status. */
    int printViolations(List<SimulationResult> results, String scenario) {
        long count = 0;
        StringBuilder options = new StringBuilder();
        overrides.forEach(override -> options.append(" --set '").append(override).append('\''));
        for (SimulationResult r : results) {
            count += r.breachCount();
            for (InvariantChecker.Breach b :
                    r.breaches().subList(0, Math.min(MAX_VIOLATIONS, r.breaches().size()))) {
                System.out.printf(
                        Locale.ROOT,
                        "BROKEN %s: request %s, server %d, sidecar %d, at %.3f s; reproduce with: "
                                + "./sagefall simulate %s --seeds %d --policy '%s'%s%n",
                        b.rule(),
                        b.request(),
                        b.server(),
                        b.sidecar(),
                        b.second(),
                        scenario,
                        r.seed(),
                        r.policy(),
                        options);
            }
        }
        if (count > 0) {
            System.out.println(
                    count + " violations of invariants: these simulations prove nothing");
        }
        return ExitStatus.of(count > 0);
    }
}
