package sagefall.balancer.admission;

import java.util.stream.Stream;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.health.Endpoint;

/** Holds a {@link ZoneConcurrencyLimit} for each zone of the settings. */
public final class ZoneConcurrencyLimits {
    private final ZoneConcurrencyLimit[] limits;

    /**
     * Creates a limit for each zone. Creates a single limit if the settings have no zones. Each
     * limit is infinite at first.
     */
    public ZoneConcurrencyLimits(BalancerSettings settings) {
        limits =
                Stream.generate(ZoneConcurrencyLimit::new)
                        .limit(Math.max(1, settings.zones().size()))
                        .toArray(ZoneConcurrencyLimit[]::new);
    }

    /**
     * Returns the limit for the zone of an endpoint. An endpoint whose zone index is out of range
     * shares the limit of the zone with the nearest index.
     */
    public ZoneConcurrencyLimit of(Endpoint endpoint) {
        return limits[Math.min(Math.max(0, endpoint.entry().zone()), limits.length - 1)];
    }

    /** Returns whether the attempts in flight have reached the limit in any zone. */
    public boolean isAnyZoneFull() {
        for (ZoneConcurrencyLimit limit : limits) {
            if (limit.isFull()) {
                return true;
            }
        }
        return false;
    }
}
