package sagefall.scenario;

/** What runs a scenario. */
public enum ScenarioRunner {
    /** {@code sagefall.emulator}: one process with a virtual clock. */
    EMULATOR("emulator"),
    /** {@code sagefall.faultinjection}: real processes on real sockets. */
    FAULT_INJECTION("rig");

    private final String label;

    ScenarioRunner(String label) {
        this.label = label;
    }

    /** The word in messages. */
    public String label() {
        return label;
    }
}
