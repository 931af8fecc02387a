package sagefall.emulator;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.DeduplicationScope;
import sagefall.balancer.api.FleetRules;
import sagefall.balancer.api.Idempotency;
import sagefall.balancer.api.RequestClass;
import sagefall.balancer.api.ServiceLimits;
import sagefall.config.BalancerSettingsReader;
import sagefall.config.ConfigException;

/** Encodes a {@link SettingsMessage} as a map with the names on the wire. */
public final class SettingsMessageCodec {

    /** Cost of a probe, as sent on the wire. The load balancer of this build ignores the value. */
    private static final double PROBE_COST = 0.0088;

    private SettingsMessageCodec() {}

    /**
     * Returns the settings as the load balancer of this build reads them from the wire.
     *
     * @param seed seed of the load balancer's random numbers
     * @throws IllegalArgumentException if the values of the scenario are not allowed
     */
    public static BalancerSettings balancerSettings(long seed, SettingsMessage message) {
        try {
            return BalancerSettingsReader.read(seed, encode(message));
        } catch (ConfigException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }

    /** Returns the message as a mutable map with the names on the wire. */
    public static Map<String, Object> encode(SettingsMessage message) {
        Map<String, Object> wire = new LinkedHashMap<>();
        wire.put("classes", List.of(requestClass(message.requestClass())));
        wire.put(
                "tenants",
                message.tenants().stream()
                        .map(t -> Map.of("name", t.name(), "share", t.quotaShare()))
                        .toList());
        wire.put("zones", message.zones());
        wire.put("models", message.machineTypes());
        wire.put("over_share_worth", message.overQuotaWeight());
        wire.put("replicas_of_me", (long) message.sidecars());
        wire.put("discovery", "push");
        wire.put("domain", Map.of("warm_keys", message.cachesKeys()));
        wire.put("report", Map.of("source", "answers", "names", List.of("cpu", "rps", "avg_ms")));
        wire.put("charges", Map.of("probe", PROBE_COST));
        wire.put("policy_limits", limits(message.limits(), message.hostRules()));
        wire.put("rules", rules(message.rules(), message.hostRules()));
        wire.put("tick_us", message.tickMicros());
        wire.put("rank", (long) message.rank());
        wire.put("zone", (long) message.zone());
        return wire;
    }

    private static Map<String, Object> requestClass(RequestClass requestClass) {
        return Map.of(
                "name", requestClass.name(),
                "effect", effect(requestClass.idempotency()),
                "group", group(requestClass.deduplicationScope()),
                "dedup_window_us", requestClass.deduplicationWindowMicros(),
                "aim_us", requestClass.latencyTargetMicros(),
                "deadline_us", requestClass.deadlineMicros(),
                "worth", requestClass.priorityWeight(),
                "late_value", requestClass.lateWeightShare(),
                "streaming", requestClass.streaming());
    }

    private static Map<String, Object> limits(
            ServiceLimits limits, SettingsMessage.HostRules hostRules) {
        return Map.of(
                "probing", true,
                "attempts_cap", (long) limits.maxAttempts(),
                "cancelling", limits.cancellationAllowed(),
                "retry_after", limits.retryAfterAllowed(),
                "max_retry_after_us", limits.maxRetryAfterMicros(),
                "conn_idle_us", limits.idleTimeoutMicros(),
                "connect_timeout_us", hostRules.connectTimeoutMicros(),
                "open_cap", (long) limits.maxOpenRequests());
    }

    private static Map<String, Object> rules(
            FleetRules rules, SettingsMessage.HostRules hostRules) {
        return Map.of(
                "cold_from", rules.slowStartInitialShare(),
                "cold_us", rules.slowStartMicros(),
                "fall_us", rules.overloadWindowMicros(),
                "fall_multiple", hostRules.overloadFactor(),
                "drain_grace_us", hostRules.drainGraceMicros(),
                "ask_every_us", rules.pollIntervalMicros(),
                "grace_to_answer_us", hostRules.responseGraceMicros());
    }

    private static String effect(Idempotency idempotency) {
        return switch (idempotency) {
            case IDEMPOTENT -> "pure";
            case IDEMPOTENCY_KEY -> "token";
            case NOT_IDEMPOTENT -> "side_effect";
        };
    }

    private static String group(DeduplicationScope scope) {
        return switch (scope) {
            case ALL -> "all";
            case ZONE -> "zone";
            case CELL -> "cell";
        };
    }
}
