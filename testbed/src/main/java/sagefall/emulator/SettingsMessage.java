package sagefall.emulator;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sagefall.balancer.api.BalancerSettings;
import sagefall.config.BalancerSettingsReader;
import sagefall.config.ConfigException;
import sagefall.scenario.Scenario;

/** The settings of a scenario as an instance is told them, in the words of the wire. */
public final class SettingsMessage {

    private SettingsMessage() {}

    /**
     * The settings that a message of this class spells.
     *
     * @throws IllegalArgumentException if the scenario's figures make no settings
     */
    public static BalancerSettings parse(long seed, Map<String, Object> message) {
        try {
            return BalancerSettingsReader.read(seed, message);
        } catch (ConfigException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }

    private static long micros(double millis) {
        return (long) (1000 * millis);
    }

    public static Map<String, Object> of(Scenario scenario) {
        Scenario.Service s = scenario.service();
        Map<String, Object> facts = new LinkedHashMap<>();
        facts.put(
                "classes",
                List.of(
                        Map.of(
                                "name",
                                "save",
                                "effect",
                                s.effect(),
                                "group",
                                s.group(),
                                "dedup_window_us",
                                micros(s.windowMillis()),
                                "aim_us",
                                micros(s.aimMillis()),
                                "deadline_us",
                                micros(s.deadlineMillis()),
                                "worth",
                                1.0,
                                "late_value",
                                0.0,
                                "streaming",
                                false)));
        facts.put(
                "tenants",
                scenario.tenants().stream()
                        .map(t -> Map.of("name", t.name(), "share", t.share()))
                        .toList());
        facts.put("zones", scenario.fleet().zones());
        facts.put("models", scenario.kinds().stream().map(Scenario.Kind::name).toList());
        facts.put("over_share_worth", s.overShareWorth());
        facts.put("replicas_of_me", (long) scenario.fleet().sidecars());
        facts.put("discovery", "push");
        facts.put("domain", Map.of("warm_keys", s.keyGain().high() > 0));
        facts.put("report", Map.of("source", "answers", "names", List.of("cpu", "rps", "avg_ms")));
        facts.put("charges", Map.of("probe", 0.0088));
        facts.put(
                "policy_limits",
                Map.of(
                        "probing",
                        true,
                        "attempts_cap",
                        (long) s.attempts(),
                        "cancelling",
                        s.cancelling(),
                        "retry_after",
                        s.retryAdvice(),
                        "max_retry_after_us",
                        2_000_000L,
                        "conn_idle_us",
                        (long) (1e6 * scenario.net().idleSeconds()),
                        "connect_timeout_us",
                        micros(scenario.net().setupLimitMillis()),
                        "open_cap",
                        100_000L));
        facts.put(
                "rules",
                Map.of(
                        "cold_from",
                        s.coldFrom(),
                        "cold_us",
                        (long) (1e6 * s.coldSeconds()),
                        "fall_us",
                        (long) (1e6 * s.fallSeconds()),
                        "fall_multiple",
                        s.fallMultiple(),
                        "drain_grace_us",
                        micros(s.drainMillis()),
                        "ask_every_us",
                        10_000_000L,
                        "grace_to_answer_us",
                        micros(s.graceMillis())));
        facts.put("tick_us", micros(s.tickMillis()));
        return facts;
    }
}
