package sagefall.balancer.health;

import sagefall.balancer.api.FleetRules;

/**
 * Computes the share of its fair request rate that an endpoint is sent after its start. The share
 * grows linearly from the initial share to 1. So an endpoint is not fully loaded before its caches
 * are warm.
 */
public final class SlowStart {
    private final FleetRules rules;

    SlowStart(FleetRules rules) {
        this.rules = rules;
    }

    /**
     * Returns the current share of an endpoint. The share is 1 once the slow start has ended. It is
     * 1 as well if the start time is unknown. An endpoint that responds again after it was
     * suspected to be down is treated as newly started, even before the endpoint list reports a new
     * start time.
     */
    public double share(long now, Endpoint endpoint) {
        ConnectionState connection = endpoint.connection();
        long startedAt =
                connection.suspectedDown
                        ? now
                        : Math.max(endpoint.entry().startMicros(), connection.recoveredAt);
        long durationMicros = rules.slowStartMicros();
        if (startedAt <= 0 || now - startedAt >= durationMicros) {
            return 1;
        }
        double initial = rules.slowStartInitialShare();
        return Math.min(1, initial + (1 - initial) * Math.max(0, now - startedAt) / durationMicros);
    }

    /** Returns the share right after the start of an endpoint. */
    public double initialShare() {
        return rules.slowStartInitialShare();
    }
}
