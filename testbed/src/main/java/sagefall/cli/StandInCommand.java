package sagefall.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sagefall.load.StandInDiscovery;
import sagefall.load.StandInFaults;
import sagefall.load.StandInServer;
import sagefall.load.StandInService;

/** {@code sagefall stand-in}: runs stand-in servers and discovery until it is terminated. */
@Command(
        name = "stand-in",
        mixinStandardHelpOptions = true,
        description =
                "Runs stand-in save servers and discovery on loopback, for a sidecar that is"
                        + " started by hand, until the command is terminated.")
final class StandInCommand implements Callable<Integer> {

    private static final int QUEUED_REQUESTS_PER_SLOT = 10;
    private static final String ZONE = "a";

    @Option(
            names = "--port",
            defaultValue = "9001",
            paramLabel = "PORT",
            description = "port of discovery (${DEFAULT-VALUE})")
    private int port;

    @Option(
            names = "--servers",
            defaultValue = "4",
            description = "number of save servers (${DEFAULT-VALUE})")
    private int serverCount;

    @Option(
            names = "--slots",
            defaultValue = "4",
            description = "number of requests that a server processes at a time (${DEFAULT-VALUE})")
    private int slots;

    @Option(
            names = "--mean-ms",
            defaultValue = "0",
            description = "mean processing time of a POST (${DEFAULT-VALUE})")
    private double meanMillis;

    @Option(
            names = "--errors",
            defaultValue = "0",
            paramLabel = "PART",
            description = "fraction of the POSTs whose response is an error, 0 to 1")
    private double errors;

    @Option(
            names = "--unanswered",
            defaultValue = "0",
            paramLabel = "PART",
            description = "fraction of the POSTs without a response")
    private double unanswered;

    @Option(
            names = "--resets",
            defaultValue = "0",
            paramLabel = "PART",
            description = "fraction of the POSTs whose connection is reset")
    private double resets;

    @Option(
            names = "--malformed",
            defaultValue = "0",
            paramLabel = "PART",
            description = "fraction of the POSTs whose response is not HTTP")
    private double malformed;

    @Override
    public Integer call() throws IOException, InterruptedException {
        StandInDiscovery discovery = new StandInDiscovery();
        StandInService service =
                new StandInService(slots, QUEUED_REQUESTS_PER_SLOT * slots, meanMillis);
        StandInFaults faults = new StandInFaults(errors, unanswered, resets, malformed);
        for (int i = 0; i < serverCount; i++) {
            new StandInServer(0, ZONE, service, discovery).setFaults(faults);
        }
        StandInServer discoveryServer =
                new StandInServer(port, ZONE, StandInService.NONE, discovery);
        discoveryServer.deregister(); // This server is not an endpoint.
        System.out.println(
                "discovery on 127.0.0.1:"
                        + discoveryServer.port()
                        + ", "
                        + serverCount
                        + " save servers");
        Thread.currentThread().join();
        return ExitStatus.OK;
    }
}
