package sagefall.faultinjection.invariant;

/**
 * Describes a violation of an invariant.
 *
 * @param invariant name of the violated invariant
 * @param description one line that names the sidecar, server or request and describes the violation
 * @param at time of the violation in nanoseconds on the history's clock
 */
public record Violation(InvariantName invariant, String description, long at) {}
