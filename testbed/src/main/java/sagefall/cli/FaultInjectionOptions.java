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
import sagefall.load.SidecarProcess;
import sagefall.scenario.Scenario;
import sagefall.scenario.ScenarioException;
import sagefall.scenario.ScenarioSource;

/** The options of all commands that inject faults: a picocli mixin. */
final class FaultInjectionOptions {

    /** A scenario with this is made for one machine. */
    private static final String ONE_MACHINE_MARK = "sidecars = 12";

    @Option(
            names = "--build",
            paramLabel = "DIR",
            description = "a built checkout that sidecars are started from; several in turn")
    private List<Path> builds = new ArrayList<>();

    @Option(
            names = "--set",
            paramLabel = "NAME=VALUE",
            description = "overrides a figure of the scenario, such as load.use=0.5")
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
                    "where the directories of all runs go; without it only failed and void runs"
                            + " stay,"
                            + " in a temporary directory")
    private Path output;

    List<String> overrides() {
        return overrides;
    }

    /** The checkouts of {@code --build}, or this one. */
    List<Path> builds() {
        return builds.isEmpty() ? List.of(SidecarProcess.ROOT) : builds;
    }

    /** The plan of a scenario, shipped or a file. */
    RunPlan plan(String nameOrFile, long seed) throws IOException, ScenarioException {
        for (Path build : builds()) {
            SidecarProcess.run(build);
        }
        ScenarioSource source = Scenario.source(nameOrFile);
        List<String> all = new ArrayList<>();
        if (!source.text().contains(ONE_MACHINE_MARK)) {
            all.addAll(RunPlan.ONE_MACHINE_FLEET);
        }
        all.addAll(overrides);
        if (sidecars != null) {
            all.add("fleet.sidecars=" + sidecars);
        }
        if (servers != null) {
            all.add("fleet.servers=" + servers);
        }
        return new RunPlan(source.file(), source.text(), all, seed, null, builds());
    }

    /** A directory for a run. */
    Path directory(String name) throws IOException {
        return output == null
                ? Files.createTempDirectory("faults-" + name + "-")
                : Files.createDirectories(output.resolve(name));
    }

    /** Executes a plan; its directory stays if {@code --out} was given, or it failed or is void. */
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
