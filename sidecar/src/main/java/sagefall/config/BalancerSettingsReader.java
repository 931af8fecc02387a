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

/** The settings as the simulator and the sidecar's configuration both spell them. */
public final class BalancerSettingsReader {

    private BalancerSettingsReader() {}

    /**
     * Turns the settings object into the module's; an {@link IllegalArgumentException} says what is
     * off.
     */
    public static BalancerSettings read(long seed, Map<?, ?> f) {
        List<RequestClass> classes = new ArrayList<>();
        for (Object o : Json.array(f, "classes")) {
            classes.add(requestClass(entry(o, "classes")));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (Object o : Json.array(f, "tenants")) {
            Map<?, ?> t = entry(o, "tenants");
            tenants.add(new Tenant(String.valueOf(t.get("name")), Json.real(t, "share", 0)));
        }
        Map<?, ?> limits = Json.object(f, "policy_limits");
        Map<?, ?> rules = Json.object(f, "rules");
        LoadReportSource reports =
                "answers".equals(Json.object(f, "report").get("source"))
                        ? LoadReportSource.ANSWERS
                        : LoadReportSource.NONE;
        return new BalancerSettings(
                seed,
                (int) Json.whole(f, "rank", 0),
                (int) Json.whole(f, "replicas_of_me", 1),
                (int) Json.whole(f, "zone", 0),
                names(f, "zones"),
                classes,
                tenants,
                Json.real(f, "over_share_worth", 1),
                new ServiceLimits(
                        (int) Json.whole(limits, "attempts_cap", 1),
                        Json.flag(limits, "cancelling"),
                        Json.flag(limits, "retry_after"),
                        Json.whole(limits, "max_retry_after_us", 0),
                        Json.whole(limits, "conn_idle_us", Long.MAX_VALUE),
                        (int) Json.whole(limits, "open_cap", Integer.MAX_VALUE)),
                new FleetRules(
                        Json.real(rules, "cold_from", 1),
                        Json.whole(rules, "cold_us", 0),
                        Json.whole(rules, "fall_us", 0),
                        Json.whole(rules, "ask_every_us", 0)),
                reports,
                "ask".equals(f.get("discovery")),
                Json.flag(Json.object(f, "domain"), "warm_keys"),
                Json.whole(f, "tick_us", 1000));
    }

    /** A list of names; its order gives each its number. */
    public static List<String> names(Map<?, ?> f, String name) {
        List<String> names = new ArrayList<>();
        for (Object o : Json.array(f, name)) {
            names.add(String.valueOf(o));
        }
        return names;
    }

    private static Map<?, ?> entry(Object o, String list) {
        if (o instanceof Map<?, ?> m) {
            return m;
        }
        throw new IllegalArgumentException("settings: '" + list + "' must hold objects");
    }

    private static RequestClass requestClass(Map<?, ?> c) {
        Idempotency effect =
                switch (String.valueOf(c.get("effect"))) {
                    case "pure" -> Idempotency.IDEMPOTENT;
                    case "token" -> Idempotency.IDEMPOTENCY_KEY;
                    case "side_effect" -> Idempotency.NOT_IDEMPOTENT;
                    default ->
                            throw new IllegalArgumentException(
                                    "settings: unknown effect '" + c.get("effect") + "'");
                };
        DeduplicationScope group =
                switch (String.valueOf(c.get("group"))) {
                    case "zone" -> DeduplicationScope.ZONE;
                    case "cell" -> DeduplicationScope.CELL;
                    default -> DeduplicationScope.ALL;
                };
        return new RequestClass(
                String.valueOf(c.get("name")),
                effect,
                group,
                Json.whole(c, "dedup_window_us", 0),
                Json.whole(c, "aim_us", 0),
                Json.whole(c, "deadline_us", 0),
                Json.real(c, "worth", 1),
                Json.real(c, "late_value", 0),
                Json.flag(c, "streaming"));
    }
}
