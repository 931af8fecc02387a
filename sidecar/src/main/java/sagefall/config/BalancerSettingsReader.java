package sagefall.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.DeduplicationScope;
import sagefall.balancer.api.FleetRules;
import sagefall.balancer.api.Idempotency;
import sagefall.balancer.api.LoadReportSource;
import sagefall.balancer.api.RequestClass;
import sagefall.balancer.api.ServiceLimits;
import sagefall.balancer.api.Tenant;

/**
 * Reads the balancer's settings. The settings have identical keys in the messages of the simulator
 * and in the configuration file of the sidecar. No other class knows these keys. An unknown key
 * belongs to a newer version and is ignored. An absent key has a default value.
 */
public final class BalancerSettingsReader {

    private static final String SETTINGS = "settings";
    private static final String CLASSES = "classes";
    private static final String TENANTS = "tenants";
    private static final long DEFAULT_TICK_MICROS = 1000;

    private BalancerSettingsReader() {}

    /**
     * Converts the settings object.
     *
     * @param seed seed of all random draws of the balancer; the seed is stored outside the settings
     *     object
     * @throws ConfigException if a value is unknown or out of range
     */
    public static BalancerSettings read(long seed, Map<?, ?> settings) throws ConfigException {
        try {
            return convert(seed, settings);
        } catch (IllegalArgumentException e) {
            throw ConfigException.ofReason(SETTINGS, e.getMessage(), e);
        }
    }

    private static BalancerSettings convert(long seed, Map<?, ?> settings) throws ConfigException {
        return new BalancerSettings(
                seed,
                (int) Json.longValue(settings, "rank", 0),
                (int) Json.longValue(settings, "replicas_of_me", 1),
                (int) Json.longValue(settings, "zone", 0),
                names(settings, "zones"),
                requestClasses(settings),
                tenants(settings),
                Json.doubleValue(settings, "over_share_worth", 1),
                serviceLimits(Json.objectValue(settings, "policy_limits")),
                fleetRules(Json.objectValue(settings, "rules")),
                loadReportSource(Json.objectValue(settings, "report")),
                "ask".equals(settings.get("discovery")),
                Json.isTrue(Json.objectValue(settings, "domain"), "warm_keys"),
                Json.longValue(settings, "tick_us", DEFAULT_TICK_MICROS));
    }

    /**
     * Returns the strings of an array, for example the zone names. The number of a zone or model is
     * the index of its name in this list.
     */
    public static List<String> names(Map<?, ?> settings, String key) {
        List<String> names = new ArrayList<>();
        for (Object name : Json.arrayValue(settings, key)) {
            names.add(String.valueOf(name));
        }
        return names;
    }

    private static List<RequestClass> requestClasses(Map<?, ?> settings) throws ConfigException {
        List<RequestClass> classes = new ArrayList<>();
        for (Object entry : Json.arrayValue(settings, CLASSES)) {
            classes.add(requestClass(asObject(entry, CLASSES)));
        }
        return classes;
    }

    private static List<Tenant> tenants(Map<?, ?> settings) throws ConfigException {
        List<Tenant> tenants = new ArrayList<>();
        for (Object entry : Json.arrayValue(settings, TENANTS)) {
            Map<?, ?> tenant = asObject(entry, TENANTS);
            tenants.add(
                    new Tenant(
                            String.valueOf(tenant.get("name")),
                            Json.doubleValue(tenant, "share", 0)));
        }
        return tenants;
    }

    private static Map<?, ?> asObject(Object entry, String list) throws ConfigException {
        if (entry instanceof Map<?, ?> object) {
            return object;
        }
        throw invalid(list, "'" + list + "' must hold objects");
    }

    private static ServiceLimits serviceLimits(Map<?, ?> limits) {
        return new ServiceLimits(
                (int) Json.longValue(limits, "attempts_cap", 1),
                Json.isTrue(limits, "cancelling"),
                Json.isTrue(limits, "retry_after"),
                Json.longValue(limits, "max_retry_after_us", 0),
                Json.longValue(limits, "conn_idle_us", Long.MAX_VALUE),
                (int) Json.longValue(limits, "open_cap", Integer.MAX_VALUE));
    }

    private static FleetRules fleetRules(Map<?, ?> rules) {
        return new FleetRules(
                Json.doubleValue(rules, "cold_from", 1),
                Json.longValue(rules, "cold_us", 0),
                Json.longValue(rules, "fall_us", 0),
                Json.longValue(rules, "ask_every_us", 0));
    }

    private static LoadReportSource loadReportSource(Map<?, ?> report) {
        return "answers".equals(report.get("source"))
                ? LoadReportSource.ANSWERS
                : LoadReportSource.NONE;
    }

    private static RequestClass requestClass(Map<?, ?> requestClass) throws ConfigException {
        return new RequestClass(
                String.valueOf(requestClass.get("name")),
                idempotency(requestClass.get("effect")),
                deduplicationScope(requestClass.get("group")),
                Json.longValue(requestClass, "dedup_window_us", 0),
                Json.longValue(requestClass, "aim_us", 0),
                Json.longValue(requestClass, "deadline_us", 0),
                Json.doubleValue(requestClass, "worth", 1),
                Json.doubleValue(requestClass, "late_value", 0),
                Json.isTrue(requestClass, "streaming"));
    }

    private static Idempotency idempotency(Object effect) throws ConfigException {
        return switch (String.valueOf(effect)) {
            case "pure" -> Idempotency.IDEMPOTENT;
            case "token" -> Idempotency.IDEMPOTENCY_KEY;
            case "side_effect" -> Idempotency.NOT_IDEMPOTENT;
            default -> throw invalid(CLASSES + ".effect", "unknown effect '" + effect + "'");
        };
    }

    private static DeduplicationScope deduplicationScope(Object group) {
        return switch (String.valueOf(group)) {
            case "zone" -> DeduplicationScope.ZONE;
            case "cell" -> DeduplicationScope.CELL;
            default -> DeduplicationScope.ALL;
        };
    }

    private static ConfigException invalid(String key, String reason) {
        return ConfigException.ofReason(SETTINGS + "." + key, SETTINGS + ": " + reason, null);
    }
}
