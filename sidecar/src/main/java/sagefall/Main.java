package sagefall;

import sagefall.proxy.SidecarProcess;
import sagefall.simulator.SimulatorAdapter;

/** Starts a host of the balancer: the sidecar or the simulator adapter. */
public final class Main {

    private static final int EXIT_USAGE = 2;

    private Main() {}

    /**
     * Runs the host that the only argument names, and exits with the host's exit status.
     *
     * @param args {@code serve} for the sidecar or {@code simhost} for the simulator adapter
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
