package sagefall.balancer.api;

/** Figures of the rules on lists and on cold servers. */
public record FleetRules(
        double slowStartInitialShare,
        long slowStartMicros,
        long overloadWindowMicros,
        long pollIntervalMicros) {
    public FleetRules {
        Preconditions.require(
                slowStartMicros >= 0 && overloadWindowMicros >= 0 && pollIntervalMicros >= 0,
                "a rule has a negative time");
    }
}
