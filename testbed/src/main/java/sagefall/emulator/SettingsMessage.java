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
 * The settings that a host hands to one sidecar at its start. {@link SettingsMessageCodec} maps
 * them to the names of the wire.
 *
 * @param rank number of the sidecar, from 0 on
 * @param zone index of its zone
 * @param sidecars how many sidecars the fleet has
 * @param zones names of the zones
 * @param machineTypes names of the kinds of machines
 * @param requestClass the only class of requests
 * @param tenants with their quotas as shares of the service
 * @param overQuotaWeight weight of a request of a tenant beyond its quota; 1 is that of others
 * @param limits what the service allows a sidecar
 * @param rules of slow start and polling
 * @param hostRules limits that the host enforces
 * @param cachesKeys whether a server answers a repeated key with less work
 * @param tickMicros resolution of the clock
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
     * @param overloadFactor by how many times its present capacity a cold server may be loaded
     * @param drainGraceMicros how long after a drain is known requests may still be sent
     * @param answerGraceMicros how long after its deadline a request must be answered
     * @param connectTimeoutMicros after which an attempt to connect has failed
     */
    public record HostRules(
            double overloadFactor,
            long drainGraceMicros,
            long answerGraceMicros,
            long connectTimeoutMicros) {}

    /** The settings of a scenario for the sidecar of that number. */
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
                        micros(service.answerGraceMillis()),
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
                micros(service.latencyObjectiveMillis()),
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

    private static Idempotency idempotency(String word) {
        return switch (word) {
            case "pure" -> Idempotency.IDEMPOTENT;
            case "token" -> Idempotency.IDEMPOTENCY_KEY;
            case "side_effect" -> Idempotency.NOT_IDEMPOTENT;
            default -> throw new IllegalArgumentException("unknown effect '" + word + "'");
        };
    }

    private static DeduplicationScope deduplicationScope(String word) {
        return switch (word) {
            case "all" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            case "cell" -> DeduplicationScope.CELL;
            default -> throw new IllegalArgumentException("unknown group '" + word + "'");
        };
    }

    private static long micros(double millis) {
        return (long) (1000 * millis);
    }
}
