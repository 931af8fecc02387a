package sagefall.emulator;

/**
 * A fault that was injected in a run.
 *
 * @param what label of the fault kind
 * @param from start of the fault, in seconds since the start of the run
 * @param to end of the fault, in seconds since the start of the run
 */
public record InjectedFault(String what, double from, double to) {}
