package sagefall.cli;

import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sagefall.load.OpenLoopLoadGenerator;

/** {@code sagefall load}: runs {@link OpenLoopLoadGenerator} against a sidecar. */
@Command(
        name = "load",
        mixinStandardHelpOptions = true,
        description =
                "Sends open-loop load to a sidecar on loopback; latencies are measured from the"
                        + " time at which a request was due.")
final class LoadCommand implements Callable<Integer> {

    private static final int MAX_OPEN_REQUESTS = 10_000;
    private static final double[] PERCENTILES = {50, 90, 99, 99.9, 100};
    private static final double MICROS_PER_MILLI = 1000.0;

    @Option(
            names = "--port",
            required = true,
            paramLabel = "PORT",
            description = "port of the sidecar on loopback")
    private int port;

    @Option(
            names = "--rate",
            defaultValue = "200",
            description = "requests a second (${DEFAULT-VALUE})")
    private double rate;

    @Option(
            names = "--seconds",
            defaultValue = "10",
            description = "duration of the load (${DEFAULT-VALUE})")
    private double seconds;

    @Option(
            names = "--timeout-ms",
            defaultValue = "1250",
            description = "timeout of the clients (${DEFAULT-VALUE})")
    private int timeoutMillis;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "seed of the arrival times (${DEFAULT-VALUE})")
    private long seed;

    @Override
    public Integer call() throws InterruptedException {
        OpenLoopLoadGenerator generator =
                new OpenLoopLoadGenerator(port, rate, timeoutMillis, MAX_OPEN_REQUESTS, seed);
        generator.run(seconds);
        int open = generator.awaitResponses(2L * timeoutMillis);
        print(generator.statistics(), open);
        return ExitStatus.of(open > 0);
    }

    private static void print(OpenLoopLoadGenerator.Statistics statistics, int open) {
        System.out.printf(
                Locale.ROOT,
                "%d requests: %d served, %d refused, %d failed, %d unsent, %d unanswered%n",
                statistics.sent(),
                statistics.served(),
                statistics.rejected(),
                statistics.failed(),
                statistics.unsent(),
                open);
        for (double percentile : PERCENTILES) {
            System.out.printf(
                    Locale.ROOT,
                    "  %5.1f %%  %8.2f ms%n",
                    percentile,
                    statistics.latencyMicros().getValueAtPercentile(percentile) / MICROS_PER_MILLI);
        }
    }
}
