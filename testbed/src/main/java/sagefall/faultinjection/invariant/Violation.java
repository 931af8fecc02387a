package sagefall.faultinjection.invariant;

/**
 * One violation of an invariant.
 *
 * @param invariant which
 * @param description by which member, and how
 * @param at nanoseconds of the history's clock
 */
public record Violation(InvariantName invariant, String description, long at) {}
