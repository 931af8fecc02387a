package sagefall.faultinjection.invariant;

/**
 * A violation of an invariant.
 *
 * @param invariant name of the violated invariant
 * @param description one line that names the member or request and what it violated
 * @param at time in nanoseconds of the history's clock
 */
public record Violation(InvariantName invariant, String description, long at) {}
