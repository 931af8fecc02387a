package sagefall.emulator;

/**
 * A fault of a run.
 *
 * @param what its kind
 * @param from first second
 * @param to last second
 */
public record InjectedFault(String what, double from, double to) {}
