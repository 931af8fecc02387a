package sagefall.cli;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sagefall.emulator.FleetSimulation;
import sagefall.emulator.SimulationResult;
import sagefall.policy.Policy;
import sagefall.policy.PolicyException;
import sagefall.policy.PolicyRegistry;
import sagefall.report.ScalingPlot;
import sagefall.scenario.Scenario;
import sagefall.scenario.ScenarioException;

/** {@code sagefall scaling}: measures the time of a simulation for several sizes of the fleet. */
@Command(
        name = "scaling",
        mixinStandardHelpOptions = true,
        description =
                "Measures the time to simulate fleets of growing size on one thread, after a"
                        + " warm-up.")
final class ScalingCommand implements Callable<Integer> {

    private static final long SEED = 1;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final int BYTES_TO_MIB_SHIFT = 20;

    @Option(
            names = "--sidecars",
            split = ",",
            defaultValue = "100,200,500,1000",
            paramLabel = "N",
            description = "numbers of sidecars, each with twice as many servers (${DEFAULT-VALUE})")
    private List<Integer> sizes;

    @Option(
            names = "--scenario",
            defaultValue = "calm",
            paramLabel = "SCENARIO",
            description = ExperimentOptions.SCENARIO_HELP + " (${DEFAULT-VALUE})")
    private String scenario;

    @Option(
            names = "--policy",
            defaultValue = "module",
            paramLabel = "POLICY",
            description = PolicyRegistry.HELP)
    private String policyName;

    @Option(names = "--plot", paramLabel = "FILE", description = "writes a plot to this SVG file")
    private Path plot;

    @Override
    public Integer call() throws IOException, ScenarioException, PolicyException {
        List<ScalingPlot.Point> points = new ArrayList<>();
        simulate(sizes.get(0)); // Warms up the JVM.
        System.out.println(
                "sidecars  servers  seconds  events    us/event  seconds / (n log n), first = "
                        + "1  heap MiB");
        double firstNormalized = 0;
        for (int size : sizes) {
            System.gc(); // Keeps garbage of the previous simulation out of the measurements.
            long startNanos = System.nanoTime();
            SimulationResult result = simulate(size);
            double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
            points.add(new ScalingPlot.Point(size, seconds));
            double normalized = seconds / (size * Math.log(size));
            firstNormalized = firstNormalized == 0 ? normalized : firstNormalized;
            printRow(size, seconds, result.events(), normalized / firstNormalized);
        }
        if (plot != null) {
            Files.writeString(plot, ScalingPlot.of(points));
        }
        return ExitStatus.OK;
    }

    private static void printRow(int size, double seconds, long events, double relative) {
        long heapBytes = ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
        System.out.printf(
                Locale.ROOT,
                "%8d %8d %8.2f %9d %8.2f %12.2f %27d%n",
                size,
                2 * size,
                seconds,
                events,
                MICROS_PER_SECOND * seconds / events,
                relative,
                heapBytes >> BYTES_TO_MIB_SHIFT);
    }

    private SimulationResult simulate(int size)
            throws IOException, ScenarioException, PolicyException {
        List<String> overrides = List.of("fleet.sidecars=" + size, "fleet.servers=" + 2 * size);
        try (Policy policy = PolicyRegistry.of(policyName, Path.of("."))) {
            return new FleetSimulation(Scenario.load(scenario, overrides), SEED, policy).run();
        }
    }
}
