package sagefall.policy;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.LoadBalancer;
import sagefall.emulator.SettingsMessage;

/**
 * The textbook policies, and an oracle that sees the true state. Random gives a scenario its floor
 * and the oracle its ceiling, which no policy that has to learn can be expected to reach.
 */
public final class BaselinePolicies {

    private interface Factory {
        LoadBalancer create(
                BalancerSettings settings, BalancerActions actions, GroundTruth groundTruth);
    }

    private static final Map<String, Factory> BY_NAME =
            new TreeMap<>(
                    Map.of(
                            "random",
                            (settings, actions, truth) -> new RandomBalancer(settings, actions),
                            "round-robin",
                            (settings, actions, truth) -> new RoundRobinBalancer(settings, actions),
                            "least-in-flight",
                            (settings, actions, truth) ->
                                    new LeastInFlightBalancer(settings, actions),
                            "two-choices",
                            (settings, actions, truth) -> new TwoChoicesBalancer(settings, actions),
                            "oracle",
                            OracleBalancer::new));

    private BaselinePolicies() {}

    /** The names of all, sorted. */
    public static List<String> names() {
        return List.copyOf(BY_NAME.keySet());
    }

    /** The policy of that name, which must be one of {@link #names()}. */
    public static Policy of(String name) {
        Factory factory = BY_NAME.get(name);
        return new Policy() {
            @Override
            public String name() {
                return name;
            }

            @Override
            public LoadBalancer create(
                    BalancerSettings settings,
                    SettingsMessage message,
                    BalancerActions actions,
                    GroundTruth groundTruth) {
                return factory.create(settings, actions, groundTruth);
            }
        };
    }
}
