package sagefall.balancer.api;

import java.util.List;

/** Everything that an instance is handed at its start. */
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
    public BalancerSettings {
        Preconditions.require(!classes.isEmpty(), "there are no request classes");
        Preconditions.require(overQuotaWeight >= 0, "a worth is negative");
        Preconditions.require(tickMicros >= 0, "the tick is negative");
    }

    /** The mean over the classes of what an answer should take at most, in microseconds. */
    public double meanTargetLatencyMicros() {
        double sum = 0;
        for (RequestClass c : classes) sum += c.targetLatencyMicros();
        return sum / classes.size();
    }

    /** Whether a class may simply be repeated. */
    public boolean anyIdempotentClass() {
        return classes.stream().anyMatch(c -> c.idempotency() == Idempotency.IDEMPOTENT);
    }
}
