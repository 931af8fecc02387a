package sagefall.load;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Save servers and a discovery, for a sidecar that is started by hand. */
@Command(
        name = "stand-in",
        mixinStandardHelpOptions = true,
        description = "Plays save servers and discovery on loopback until it is ended.")
public final class StandInCommand implements Callable<Integer> {

    @Option(
            names = "--port",
            defaultValue = "9001",
            description = "of discovery (${DEFAULT-VALUE})")
    private int port;

    @Option(names = "--servers", defaultValue = "4", description = "how many (${DEFAULT-VALUE})")
    private int count;

    @Option(
            names = "--slots",
            defaultValue = "4",
            description = "requests in work at a time (${DEFAULT-VALUE})")
    private int slots;

    @Option(
            names = "--ms",
            defaultValue = "0",
            description = "mean time of a POST (${DEFAULT-VALUE})")
    private double millis;

    @Option(names = "--errors", defaultValue = "0", description = "part of the POSTs that fail")
    private double errors;

    @Option(names = "--silences", defaultValue = "0", description = "part that is never answered")
    private double silences;

    @Option(names = "--resets", defaultValue = "0", description = "part whose connection is reset")
    private double resets;

    @Option(
            names = "--noises",
            defaultValue = "0",
            description = "part that is answered with noise")
    private double noises;

    @Override
    public Integer call() throws Exception {
        StandInDiscovery directory = new StandInDiscovery();
        StandInServer.Service service = new StandInServer.Service(slots, 10 * slots, millis);
        for (int i = 0; i < count; i++) {
            new StandInServer(0, "a", service, directory)
                    .faults(new StandInServer.Faults(errors, silences, resets, noises));
        }
        StandInServer discovery =
                new StandInServer(port, "a", StandInServer.Service.NONE, directory);
        discovery.leave();
        System.out.println(
                "discovery on 127.0.0.1:" + discovery.port() + ", " + count + " save servers");
        Thread.currentThread().join();
        return 0;
    }
}
