package sagefall.balancer.health;

import sagefall.balancer.api.FleetRules;

/**
 * The share of its fair rate that an endpoint is sent after its start, which grows linearly from
 * the initial share to 1. It prevents that a server is filled before its caches are warm.
 */
public final class SlowStart {
    private final FleetRules rules;

    SlowStart(FleetRules rules) {
        this.rules = rules;
    }

    /**
     * The share of an endpoint now; 1 once it is warm. One that came back before the list says so
     * is as cold as one that the list calls new.
     */
    public double share(long now, Endpoint endpoint) {
        ConnectionState connection = endpoint.connection();
        long startedAt =
                connection.maybeDead
                        ? now
                        : Math.max(endpoint.entry().startMicros(), connection.returnedAt);
        long warmUpMicros = rules.slowStartMicros();
        if (startedAt <= 0 || now - startedAt >= warmUpMicros) {
            return 1;
        }
        double initial = rules.slowStartInitialShare();
        return Math.min(1, initial + (1 - initial) * Math.max(0, now - startedAt) / warmUpMicros);
    }

    /** The share that an endpoint begins with. */
    public double initialShare() {
        return rules.slowStartInitialShare();
    }
}
