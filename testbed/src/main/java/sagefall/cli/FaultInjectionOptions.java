package sagefall.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine.Option;
import sagefall.faultinjection.FaultInjectionRun;
import sagefall.faultinjection.plan.RunPlan;
import sagefall.faultinjection.report.RunResult;
import sagefall.load.SidecarChildProcess;
import sagefall.scenario.Scenario;
import sagefall.scenario.ScenarioException;
import sagefall.scenario.ScenarioSource;

/** A picocli mixin with the options of the commands that inject faults. */
final class FaultInjectionOptions {

    /**
     * A scenario with this line has a fleet that is small enough for one machine. In a scenario
     * without this line, the fleet is replaced by {@link RunPlan#ONE_MACHINE_FLEET}.
     */
    private static final String ONE_MACHINE_MARKER = "sidecars = 12";

    @Option(
            names = "--build",
            paramLabel = "DIR",
            description =
                    "a built checkout that sidecars are started from; several checkouts are used in"
                            + " turn")
    private List<Path> builds = new ArrayList<>();

    @Option(
            names = "--set",
            paramLabel = "NAME=VALUE",
            description = "overrides a value of the scenario, such as load.use=0.5")
    private List<String> overrides = new ArrayList<>();

    @Option(
            names = "--sidecars",
            paramLabel = "N",
            description = "number of sidecars, instead of the scenario's")
    private Integer sidecars;

    @Option(
            names = "--servers",
            paramLabel = "N",
            description = "number of servers, instead of the scenario's")
    private Integer servers;

    @Option(
            names = "--out",
            paramLabel = "DIR",
            description =
                    "directory that receives the directories of all runs; without it only failed"
                            + " and void runs are kept, in a temporary directory")
    private Path output;

    /** Returns the overrides of {@code --set}. */
    List<String> overrides() {
        return overrides;
    }

    /** Returns the checkouts of {@code --build}, or this checkout if none is given. */
    List<Path> builds() {
        return builds.isEmpty() ? List.of(SidecarChildProcess.ROOT) : builds;
    }

    /**
     * Creates the plan of a run.
     *
     * @param nameOrFile name of a shipped scenario, or a TOML file
     * @throws java.nio.file.NoSuchFileException if a checkout of {@code --build} is not built
     */
    RunPlan plan(String nameOrFile, long seed) throws IOException, ScenarioException {
        for (Path build : builds()) {
            SidecarChildProcess.runCommand(build); // Throws if the checkout is not built.
        }
        ScenarioSource source = Scenario.source(nameOrFile);
        List<String> all = new ArrayList<>();
        if (!source.text().contains(ONE_MACHINE_MARKER)) {
            all.addAll(RunPlan.ONE_MACHINE_FLEET);
        }
        all.addAll(overrides);
        if (sidecars != null) {
            all.add("fleet.sidecars=" + sidecars);
        }
        if (servers != null) {
            all.add("fleet.servers=" + servers);
        }
        List<Integer> selectedFaults = null; // All faults of the scenario.
        return new RunPlan(source.file(), source.text(), all, seed, selectedFaults, builds());
    }

    /** Creates the directory of a run. */
    Path directory(String name) throws IOException {
        return output == null
                ? Files.createTempDirectory("faults-" + name + "-")
                : Files.createDirectories(output.resolve(name));
    }

    /**
     * Executes a plan. The directory of the run is kept if {@code --out} was given, if the run
     * violated an invariant, or if the run is void because the machine stalled for too long.
     */
    RunResult execute(RunPlan plan, String name)
            throws IOException, ScenarioException, InterruptedException {
        RunResult result = FaultInjectionRun.execute(plan, directory(name));
        if (output == null && !result.isViolated() && !result.isVoid()) {
            result.directory().delete();
        } else {
            System.out.println("  files in " + result.directory().path());
        }
        return result;
    }
}
