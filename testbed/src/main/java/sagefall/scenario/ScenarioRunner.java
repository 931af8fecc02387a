package sagefall.scenario;

/** Programs that run scenarios. */
public enum ScenarioRunner {
    /** {@code sagefall.emulator}: simulates a fleet in one process with a virtual clock. */
    EMULATOR("emulator"),
    /** {@code sagefall.faultinjection}: runs real processes that use real sockets. */
    FAULT_INJECTION("rig");

    private final String label;

    ScenarioRunner(String label) {
        this.label = label;
    }

    /** Returns the name of the runner in messages. */
    public String label() {
        return label;
    }
}
