package sagefall.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sagefall.load.OutageDemo;

/** {@code sagefall demo}. */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description =
                "Starts stand-in servers, a real sidecar and load, loses a zone of servers, and"
                        + " prints a line a second.")
final class DemoCommand implements Callable<Integer> {

    @Option(
            names = "--seconds",
            defaultValue = "30",
            description = "length of the load (${DEFAULT-VALUE})")
    private int seconds;

    @Option(
            names = "--rate",
            defaultValue = "300",
            description = "requests a second (${DEFAULT-VALUE})")
    private double rate;

    @Override
    public Integer call() throws IOException, InterruptedException {
        boolean served = new OutageDemo(seconds, rate, System.out).run();
        return served ? ExitStatus.OK : ExitStatus.FAILED;
    }
}
