package sagefall.balancer.admission;

import java.util.stream.Stream;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.health.Endpoint;

/** A {@link ZoneConcurrencyLimit} for each zone of the settings. */
public final class ZoneConcurrencyLimits {
    private final ZoneConcurrencyLimit[] limits;

    /** Creates a limit for each zone, at least one; none of them binds yet. */
    public ZoneConcurrencyLimits(BalancerSettings settings) {
        limits =
                Stream.generate(ZoneConcurrencyLimit::new)
                        .limit(Math.max(1, settings.zones().size()))
                        .toArray(ZoneConcurrencyLimit[]::new);
    }

    /** The limit of an endpoint's zone; an unknown zone shares the nearest index. */
    public ZoneConcurrencyLimit of(Endpoint endpoint) {
        return limits[Math.min(Math.max(0, endpoint.entry().zone()), limits.length - 1)];
    }

    /** Whether a zone has as many of this instance's attempts in flight as it may. */
    public boolean anyFull() {
        for (ZoneConcurrencyLimit limit : limits) {
            if (limit.isFull()) {
                return true;
            }
        }
        return false;
    }
}
