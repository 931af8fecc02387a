package sagefall;

import sagefall.proxy.SidecarProcess;
import sagefall.simulator.SimulatorAdapter;

/** Chooses the host of the decision module: the sidecar, or the simulator's adapter. */
public final class Main {

    private Main() {}

    public static void main(String[] args) {
        String mode = args.length == 1 ? args[0] : "";
        switch (mode) {
            case "serve" -> System.exit(SidecarProcess.run(System.getenv(), System.err));
            case "simhost" -> System.exit(SimulatorAdapter.serve());
            default -> {
                System.err.println("usage: java -jar sagefall.jar serve|simhost");
                System.exit(2);
            }
        }
    }
}
