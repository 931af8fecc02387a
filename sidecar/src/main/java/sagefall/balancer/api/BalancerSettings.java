package sagefall.balancer.api;

import java.util.List;

/**
 * Settings of one load balancer instance.
 *
 * @param seed seed of all random draws
 * @param rank number of this instance among the replicas, from 0
 * @param replicas number of instances in the fleet
 * @param zone index of this instance's zone in {@code zones}
 * @param zones names of the zones, in the order of their indexes
 * @param classes request classes, in the order of their indexes; at least one
 * @param tenants tenants, in the order of their indexes; may be empty
 * @param overQuotaWeight factor by which the weight of a request is multiplied if its tenant is
 *     over the quota; not negative
 * @param limits limits of the service on attempts, rejections and connections
 * @param rules durations and fractions that are common to the whole fleet
 * @param loadReportSource source of the load reports
 * @param pollsDiscovery whether the host polls a discovery service; otherwise it watches an agent
 * @param cachesKeys whether endpoints cache data by key, so that an endpoint responds faster to
 *     requests with a key that it has served before
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
        Preconditions.require(overQuotaWeight >= 0, "overQuotaWeight is negative");
        Preconditions.require(tickMicros >= 0, "tickMicros is negative");
    }

    /**
     * Returns the mean latency target over the request classes, in microseconds; the deadline of a
     * class is used instead if the class has no latency target.
     */
    public double meanLatencyTargetMicros() {
        double sum = 0;
        for (RequestClass requestClass : classes) {
            sum += requestClass.latencyTargetOrDeadlineMicros();
        }
        return sum / classes.size();
    }

    /** Returns whether the requests of at least one class are idempotent. */
    public boolean anyIdempotentClass() {
        return classes.stream().anyMatch(c -> c.idempotency() == Idempotency.IDEMPOTENT);
    }
}
