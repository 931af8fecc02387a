package sagefall.emulator;

import java.util.List;
import sagefall.balancer.api.DeduplicationScope;
import sagefall.balancer.api.FleetRules;
import sagefall.balancer.api.Idempotency;
import sagefall.balancer.api.RequestClass;
import sagefall.balancer.api.ServiceLimits;
import sagefall.balancer.api.Tenant;
import sagefall.scenario.MachineType;
import sagefall.scenario.Scenario;
import sagefall.scenario.ServiceSettings;

/**
 * The settings that a host passes to the load balancer of one sidecar at its start. {@link
 * SettingsMessageCodec} maps them to the names on the wire.
 *
 * @param rank number of the sidecar, from 0
 * @param zone index of the zone of the sidecar
 * @param sidecars number of sidecars of the fleet
 * @param zones names of the zones
 * @param machineTypes names of the machine types
 * @param requestClass the only request class
 * @param tenants tenants, each with its share of the sum of all quotas
 * @param overQuotaWeight weight of a request beyond the quota of its tenant, relative to a request
 *     within the quota, whose weight is 1
 * @param limits limits that the service requires a sidecar to observe
 * @param rules rules for slow start, overload of cold servers and polling
 * @param hostRules limits that the host enforces
 * @param cachesKeys whether a request whose key a server has cached causes less work
 * @param tickMicros resolution of the clock, in microseconds
 */
public record SettingsMessage(
        int rank,
        int zone,
        int sidecars,
        List<String> zones,
        List<String> machineTypes,
        RequestClass requestClass,
        List<Tenant> tenants,
        double overQuotaWeight,
        ServiceLimits limits,
        FleetRules rules,
        HostRules hostRules,
        boolean cachesKeys,
        long tickMicros) {

    private static final String CLASS_NAME = "save";
    private static final long MAX_RETRY_AFTER_MICROS = 2_000_000;
    private static final int MAX_OPEN_REQUESTS = 100_000;
    private static final long POLL_INTERVAL_MICROS = 10_000_000;

    /**
     * Limits that the host enforces and a sidecar cannot change.
     *
     * @param overloadFactor maximum load that sidecars may put on a cold server, as a multiple of
     *     the server's current capacity
     * @param drainGraceMicros time for which a sidecar may still send requests to a server after
     *     the sidecar was notified that the server drains
     * @param responseGraceMicros maximum time from the deadline of a request to its completion
     * @param connectTimeoutMicros maximum time for opening a connection
     */
    public record HostRules(
            double overloadFactor,
            long drainGraceMicros,
            long responseGraceMicros,
            long connectTimeoutMicros) {}

    /** Returns the settings of a scenario for the sidecar with the given number. */
    public static SettingsMessage of(Scenario scenario, int rank) {
        ServiceSettings service = scenario.service();
        List<String> zones = scenario.fleet().zones();
        return new SettingsMessage(
                rank,
                rank % zones.size(),
                scenario.fleet().sidecars(),
                zones,
                scenario.machineTypes().stream().map(MachineType::name).toList(),
                requestClass(service),
                scenario.tenants().stream().map(t -> new Tenant(t.name(), t.share())).toList(),
                service.overQuotaWeight(),
                limits(scenario),
                new FleetRules(
                        service.slowStartInitialShare(),
                        (long) (1e6 * service.slowStartSeconds()),
                        (long) (1e6 * service.slowStartLimitSeconds()),
                        POLL_INTERVAL_MICROS),
                new HostRules(
                        service.slowStartLimitFactor(),
                        micros(service.drainGraceMillis()),
                        micros(service.responseGraceMillis()),
                        micros(scenario.network().connectTimeoutMillis())),
                service.cachedKeySaving().high() > 0,
                micros(service.tickMillis()));
    }

    private static RequestClass requestClass(ServiceSettings service) {
        return new RequestClass(
                CLASS_NAME,
                idempotency(service.idempotency()),
                deduplicationScope(service.deduplicationScope()),
                micros(service.deduplicationWindowMillis()),
                micros(service.latencyTargetMillis()),
                micros(service.deadlineMillis()),
                1,
                0,
                false);
    }

    private static ServiceLimits limits(Scenario scenario) {
        ServiceSettings service = scenario.service();
        return new ServiceLimits(
                service.maxAttempts(),
                service.cancellationAllowed(),
                service.retryAfterAllowed(),
                MAX_RETRY_AFTER_MICROS,
                (long) (1e6 * scenario.network().idleTimeoutSeconds()),
                MAX_OPEN_REQUESTS);
    }

    private static Idempotency idempotency(String wireName) {
        return switch (wireName) {
            case "pure" -> Idempotency.IDEMPOTENT;
            case "token" -> Idempotency.IDEMPOTENCY_KEY;
            case "side_effect" -> Idempotency.NOT_IDEMPOTENT;
            default -> throw new IllegalArgumentException("unknown effect '" + wireName + "'");
        };
    }

    private static DeduplicationScope deduplicationScope(String wireName) {
        return switch (wireName) {
            case "all" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            case "cell" -> DeduplicationScope.CELL;
            default -> throw new IllegalArgumentException("unknown group '" + wireName + "'");
        };
    }

    private static long micros(double millis) {
        return (long) (1000 * millis);
    }
}
