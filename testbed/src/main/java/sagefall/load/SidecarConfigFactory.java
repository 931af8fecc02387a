package sagefall.load;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Creates the configurations of the sidecars that the test bed starts. Each configuration is a map
 * with the keys of the configuration file.
 */
public final class SidecarConfigFactory {

    private SidecarConfigFactory() {}

    /**
     * Creates a configuration.
     *
     * @param name name of the instance
     * @param discovery host and port of discovery
     * @param seed seed of the sidecar's random numbers, 16 hex digits
     * @param endpoints endpoint list that the sidecar starts with
     * @param settings settings of the balancer
     */
    public static Map<String, Object> config(
            String name,
            String discovery,
            String seed,
            Map<String, Object> endpoints,
            Map<String, Object> settings) {
        Map<String, Object> config = new LinkedHashMap<>();
        config.put("name", name);
        config.put("discovery", discovery);
        config.put("seed", seed);
        config.put("limits", Map.of("cores", 1.0, "memory_mb", 192, "sockets", 1024));
        config.put("known", endpoints);
        config.put("settings", settings);
        return config;
    }

    /**
     * Creates settings of the balancer. Every setting that is not a parameter of this method has a
     * fixed value.
     *
     * @param classes request classes
     * @param zones names of the zones; the sidecar is in the first zone
     * @param report how endpoints send load reports
     */
    public static Map<String, Object> settings(
            List<Map<String, Object>> classes, List<String> zones, Map<String, Object> report) {
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("classes", classes);
        settings.put("tenants", List.of(Map.of("name", "one", "share", 1)));
        settings.put("zones", zones);
        settings.put("models", List.of("m"));
        settings.put("zone", 0);
        settings.put("discovery", "push");
        settings.put(
                "policy_limits",
                Map.of(
                        "attempts_cap",
                        4,
                        "cancelling",
                        true,
                        "retry_after",
                        true,
                        "max_retry_after_us",
                        2_000_000,
                        "conn_idle_us",
                        15_000_000,
                        "connect_timeout_us",
                        2_000_000));
        settings.put("report", report);
        settings.put(
                "rules",
                Map.of(
                        "ask_every_us",
                        8_000_000,
                        "drain_grace_us",
                        500_000,
                        "cold_from",
                        0.3,
                        "cold_us",
                        5_000_000,
                        "fall_us",
                        1_000_000));
        settings.put("tick_us", 1000);
        return settings;
    }
}
