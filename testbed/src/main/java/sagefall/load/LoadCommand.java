package sagefall.load;

import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Open-loop load on a sidecar that runs already. */
@Command(
        name = "load",
        mixinStandardHelpOptions = true,
        description =
                "Sends saves to a sidecar on loopback at drawn times; latency from the time meant.")
public final class LoadCommand implements Callable<Integer> {

    @Option(names = "--port", required = true, description = "the sidecar's port on loopback")
    private int port;

    @Option(
            names = "--rate",
            defaultValue = "200",
            description = "requests a second (${DEFAULT-VALUE})")
    private double rate;

    @Option(names = "--seconds", defaultValue = "10", description = "how long (${DEFAULT-VALUE})")
    private double seconds;

    @Option(
            names = "--timeout-ms",
            defaultValue = "1250",
            description = "what clients wait (${DEFAULT-VALUE})")
    private int timeout;

    @Option(names = "--seed", defaultValue = "1", description = "of the times (${DEFAULT-VALUE})")
    private long seed;

    @Override
    public Integer call() throws Exception {
        OpenLoopLoadGenerator load = new OpenLoopLoadGenerator(port, rate, timeout, 10_000, seed);
        load.run(seconds);
        int open = load.settle(2L * timeout);
        OpenLoopLoadGenerator.Figures f = load.figures();
        System.out.printf(
                Locale.ROOT,
                "%d requests: %d served, %d refused, %d failed, %d unsent, %d unanswered%n",
                f.sent(),
                f.served(),
                f.refused(),
                f.failed(),
                f.unsent(),
                open);
        for (double p : new double[] {50, 90, 99, 99.9, 100}) {
            System.out.printf(
                    Locale.ROOT,
                    "  %5.1f %%  %8.2f ms%n",
                    p,
                    f.micros().getValueAtPercentile(p) / 1000.0);
        }
        return open == 0 ? 0 : 1;
    }
}
