package sagefall;

import sagefall.proxy.SidecarProcess;
import sagefall.simulator.SimulatorAdapter;

/** Starts the host of the balancer: the sidecar, or the simulator's adapter. */
public final class Main {

    private static final int EXIT_USAGE = 2;

    private Main() {}

    /**
     * Runs the host that the one argument names, and exits with its status.
     *
     * @param args {@code serve} or {@code simhost}
     */
    public static void main(String[] args) {
        String host = args.length == 1 ? args[0] : "";
        switch (host) {
            case "serve" -> System.exit(SidecarProcess.run(System.getenv(), System.err));
            case "simhost" -> System.exit(SimulatorAdapter.serve());
            default -> {
                System.err.println("usage: java -jar sagefall.jar serve|simhost");
                System.exit(EXIT_USAGE);
            }
        }
    }
}
