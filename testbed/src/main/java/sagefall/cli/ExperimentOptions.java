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

/** A picocli mixin with the options of the commands that run simulations. */
final class ExperimentOptions {

    /** Help text of a scenario parameter. */
    static final String SCENARIO_HELP = "a shipped scenario, or a TOML file";

    private static final int MAX_PRINTED_VIOLATIONS = 3;

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
            description = "number of simulations at a time; 0: one for each core")
    private int threads;

    @Option(
            names = "--root",
            defaultValue = "${sys:sagefall.root:-.}",
            paramLabel = "DIR",
            description =
                    "checkout whose sources are compiled if a policy changes a tunable"
                            + " (${DEFAULT-VALUE})")
    private Path root;

    @Option(
            names = "--set",
            paramLabel = "NAME=VALUE",
            description = "overrides a value of the scenario, such as fleet.servers=60")
    private List<String> overrides = new ArrayList<>();

    @Option(
            names = "--out",
            paramLabel = "DIR",
            description =
                    "writes days.jsonl, with a line for each simulation as soon as it is done, and"
                            + " report.html, to this directory")
    private Path out;

    @Option(
            names = "--policy-log",
            description = "prints the log of the balancer at debug level to standard error")
    void policyLog(boolean on) {
        ((Logger) LoggerFactory.getLogger("module")).setLevel(on ? Level.DEBUG : Level.INFO);
    }

    /** Loads a scenario with the overrides of {@code --set}. */
    Scenario scenario(String name) throws IOException, ScenarioException {
        return Scenario.load(name, overrides).requireSupportedBy(ScenarioRunner.EMULATOR);
    }

    /** Loads a scenario with the overrides of {@code --set} and one further override. */
    Scenario scenario(String name, String override) throws IOException, ScenarioException {
        List<String> all = new ArrayList<>(overrides);
        all.add(override);
        return Scenario.load(name, all).requireSupportedBy(ScenarioRunner.EMULATOR);
    }

    /**
     * Returns the seeds that {@code --seeds} lists.
     *
     * @throws PolicyException if the list is malformed or empty
     */
    List<Long> seeds() throws PolicyException {
        List<Long> all = new ArrayList<>();
        for (String part : seeds.split(",", 0)) {
            if (!part.matches("\\d{1,18}(-\\d{1,18})?")) {
                throw new PolicyException(
                        "--seeds: '" + part + "' is neither a number nor FROM-TO");
            }
            String[] ends = part.split("-", 0);
            for (long seed = Long.parseLong(ends[0]);
                    seed <= Long.parseLong(ends[ends.length - 1]);
                    seed++) {
                all.add(seed);
            }
        }
        if (all.isEmpty()) {
            throw new PolicyException("--seeds: '" + seeds + "' contains no seed");
        }
        return all;
    }

    /**
     * Creates the runner of simulations. The runner shows a progress bar if the output is a
     * terminal. On Java 17, {@link System#console()} is null if the output is not a terminal.
     */
    @SuppressWarnings("SystemConsoleNull")
    ParallelSimulations simulations() {
        int cores = threads > 0 ? threads : Runtime.getRuntime().availableProcessors();
        return new ParallelSimulations(cores, root, System.console() == null ? null : System.err);
    }

    /**
     * Creates a listener that writes each result to the directory of {@code --out}. Without that
     * option, the listener does nothing.
     */
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

    /**
     * Prints the first violations of invariants in each result. Each violation is printed with the
     * command that reproduces it.
     *
     * @return the exit status: {@link ExitStatus#FAILED} if an invariant was violated
     */
    int printViolations(List<SimulationResult> results, String scenario) {
        long count = 0;
        StringBuilder options = new StringBuilder();
        overrides.forEach(override -> options.append(" --set '").append(override).append('\''));
        for (SimulationResult result : results) {
            count += result.breachCount();
            List<InvariantChecker.Breach> breaches = result.breaches();
            for (InvariantChecker.Breach breach :
                    breaches.subList(0, Math.min(MAX_PRINTED_VIOLATIONS, breaches.size()))) {
                System.out.printf(
                        Locale.ROOT,
                        "BROKEN %s: request %s, server %d, sidecar %d, at %.3f s; reproduce with: "
                                + "./sagefall simulate %s --seeds %d --policy '%s'%s%n",
                        breach.rule(),
                        breach.request(),
                        breach.server(),
                        breach.sidecar(),
                        breach.second(),
                        scenario,
                        result.seed(),
                        result.policy(),
                        options);
            }
        }
        if (count > 0) {
            System.out.println(
                    count + " violations of invariants: the results of these runs are not valid");
        }
        return ExitStatus.of(count > 0);
    }
}
