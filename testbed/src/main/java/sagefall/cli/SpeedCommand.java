package sagefall.cli;

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
import sagefall.policy.PolicyRegistry;
import sagefall.report.ScalingPlot;
import sagefall.scenario.Scenario;

/** How long days of growing fleets take in one thread. */
@Command(
        name = "speed",
        mixinStandardHelpOptions = true,
        description =
                "Times a day of 50 s for fleets of growing size, one thread, after a warm-up.")
public final class SpeedCommand implements Callable<Integer> {

    @Option(
            names = "--sidecars",
            split = ",",
            defaultValue = "100,200,500,1000",
            description = "sizes; each with twice as many servers (${DEFAULT-VALUE})")
    private List<Integer> sizes;

    @Option(names = "--scenario", defaultValue = "calm")
    private String scenario;

    @Option(names = "--policy", defaultValue = "module", description = PolicyRegistry.HELP)
    private String name;

    @Option(names = "--plot", paramLabel = "FILE", description = "writes the plot as SVG")
    private Path plot;

    @Override
    public Integer call() throws Exception {
        List<ScalingPlot.Point> points = new ArrayList<>();
        play(sizes.get(0));
        System.out.println(
                "sidecars  servers  seconds  events    us/event  seconds / (n log n), first = "
                        + "1  heap MiB");
        double first = 0;
        for (int size : sizes) {
            System.gc();
            long begin = System.nanoTime();
            SimulationResult r = play(size);
            double seconds = (System.nanoTime() - begin) / 1e9;
            points.add(new ScalingPlot.Point(size, seconds));
            double per = seconds / (size * Math.log(size));
            first = first == 0 ? per : first;
            System.out.printf(
                    Locale.ROOT,
                    "%8d %8d %8.2f %9d %8.2f %12.2f %27d%n",
                    size,
                    2 * size,
                    seconds,
                    r.events(),
                    1e6 * seconds / r.events(),
                    per / first,
                    ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed() >> 20);
        }
        if (plot != null) {
            Files.writeString(plot, ScalingPlot.of(points));
        }
        return 0;
    }

    private SimulationResult play(int size) throws Exception {
        try (Policy policy = PolicyRegistry.of(name, Path.of("."))) {
            return new FleetSimulation(
                            Scenario.load(
                                    scenario,
                                    List.of("fleet.sidecars=" + size, "fleet.servers=" + 2 * size)),
                            1,
                            policy)
                    .run();
        }
    }
}
