package sagefall.scenario;

/** Who plays scenarios. */
public enum ScenarioRunner {
    /** {@code sagefall.emulator}: one process, its own clock. */
    EMULATOR,
    /** {@code sagefall.faultinjection}: real processes on real sockets. */
    FAULT_INJECTION
}
