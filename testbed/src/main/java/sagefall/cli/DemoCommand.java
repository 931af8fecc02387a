package sagefall.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sagefall.load.OutageDemo;

/** {@code sagefall demo}: runs {@link OutageDemo}. */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description =
                "Starts stand-in servers, a real sidecar and load, makes all servers of a zone"
                        + " fail for a while, and prints a line a second.")
final class DemoCommand implements Callable<Integer> {

    @Option(
            names = "--seconds",
            defaultValue = "30",
            description = "duration of the load (${DEFAULT-VALUE})")
    private int seconds;

    @Option(
            names = "--rate",
            defaultValue = "300",
            description = "requests a second (${DEFAULT-VALUE})")
    private double rate;

    @Override
    public Integer call() throws IOException, InterruptedException {
        boolean succeeded = new OutageDemo(seconds, rate, System.out).run();
        return succeeded ? ExitStatus.OK : ExitStatus.FAILED;
    }
}
