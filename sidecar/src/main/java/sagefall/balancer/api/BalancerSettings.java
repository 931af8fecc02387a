package sagefall.balancer.api;

import java.util.List;

/**
 * Everything that an instance is handed at its start.
 *
 * @param seed of all random draws
 * @param rank number of this instance among the replicas, from 0
 * @param replicas number of instances of the fleet
 * @param zone index of the own zone in {@code zones}
 * @param zones names of the zones; their order gives each its index
 * @param classes classes of requests; their order gives each its index; at least one
 * @param tenants the tenants; their order gives each its index; may be empty
 * @param overQuotaWeight weight of a request beyond its tenant's quota, as a factor; not negative
 * @param limits what the site allows
 * @param rules figures of the rules on lists and on endpoints that have just started
 * @param loadReportSource where load reports come from
 * @param pollsDiscovery whether the host polls a discovery service, rather than watching an agent
 * @param cachesKeys whether servers answer requests of a key faster that they have seen before
 * @param tickMicros resolution of the host's timers; not negative
 */
public record BalancerSettings(
        long seed,
        int rank,
        int replicas,
        int zone,
        List<String> zones,
        List<RequestClass> classes,
        List<Tenant> tenants,
        double overQuotaWeight,
        ServiceLimits limits,
        FleetRules rules,
        LoadReportSource loadReportSource,
        boolean pollsDiscovery,
        boolean cachesKeys,
        long tickMicros) {

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if there are no classes or a value is negative
     */
    public BalancerSettings {
        Preconditions.require(!classes.isEmpty(), "there are no request classes");
        Preconditions.require(overQuotaWeight >= 0, "a worth is negative");
        Preconditions.require(tickMicros >= 0, "the tick is negative");
    }

    /** The mean over the classes of what an answer should take at most, in microseconds. */
    public double meanTargetLatencyMicros() {
        double sum = 0;
        for (RequestClass requestClass : classes) {
            sum += requestClass.targetLatencyMicros();
        }
        return sum / classes.size();
    }

    /** Whether requests of a class may be repeated without any precaution. */
    public boolean anyIdempotentClass() {
        return classes.stream().anyMatch(c -> c.idempotency() == Idempotency.IDEMPOTENT);
    }
}
