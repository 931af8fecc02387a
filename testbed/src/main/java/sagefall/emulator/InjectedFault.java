package sagefall.emulator;

/**
 * A fault that was injected in a run.
 *
 * @param what label of the fault kind
 * @param from second of the run at which the fault began
 * @param to second of the run at which the fault ended
 */
public record InjectedFault(String what, double from, double to) {}
