package sagefall.balancer.api;

/**
 * Figures of the rules on lists and on endpoints that have just started.
 *
 * @param slowStartInitialShare share of its fair rate that an endpoint is sent at its start
 * @param slowStartMicros time until an endpoint is warm; not negative
 * @param overloadWindowMicros time over which overload is looked at; not negative
 * @param pollIntervalMicros time within which discovery is polled; not negative
 */
public record FleetRules(
        double slowStartInitialShare,
        long slowStartMicros,
        long overloadWindowMicros,
        long pollIntervalMicros) {

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if a time is negative
     */
    public FleetRules {
        Preconditions.require(
                slowStartMicros >= 0 && overloadWindowMicros >= 0 && pollIntervalMicros >= 0,
                "a rule has a negative time");
    }
}
