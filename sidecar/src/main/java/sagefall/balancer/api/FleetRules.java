package sagefall.balancer.api;

/**
 * Durations and fractions that are common to the whole fleet.
 *
 * @param slowStartInitialShare fraction of the usual request rate that an endpoint is sent when its
 *     slow start begins
 * @param slowStartMicros duration of slow start; not negative
 * @param overloadWindowMicros duration of the window over which overload is measured; not negative
 * @param pollIntervalMicros maximum time between two polls of discovery; not negative
 */
public record FleetRules(
        double slowStartInitialShare,
        long slowStartMicros,
        long overloadWindowMicros,
        long pollIntervalMicros) {

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if a duration is negative
     */
    public FleetRules {
        Preconditions.require(
                slowStartMicros >= 0 && overloadWindowMicros >= 0 && pollIntervalMicros >= 0,
                "a duration of the fleet rules is negative");
    }
}
