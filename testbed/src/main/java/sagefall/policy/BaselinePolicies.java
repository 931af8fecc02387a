package sagefall.policy;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.LoadBalancer;
import sagefall.emulator.SettingsMessage;

/**
 * Well-known balancing policies for comparison, and an oracle that knows the true state of the
 * fleet. In each scenario the result of {@code random} is a lower reference and that of {@code
 * oracle} an upper one. A policy that has to estimate the state cannot be expected to reach the
 * oracle's result.
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
                            (settings, actions, groundTruth) ->
                                    new RandomBalancer(settings, actions),
                            "round-robin",
                            (settings, actions, groundTruth) ->
                                    new RoundRobinBalancer(settings, actions),
                            "least-in-flight",
                            (settings, actions, groundTruth) ->
                                    new LeastInFlightBalancer(settings, actions),
                            "two-choices",
                            (settings, actions, groundTruth) ->
                                    new TwoChoicesBalancer(settings, actions),
                            "oracle",
                            OracleBalancer::new));

    private BaselinePolicies() {}

    /** Returns the names of all baseline policies, sorted. */
    public static List<String> names() {
        return List.copyOf(BY_NAME.keySet());
    }

    /** Returns the policy with the given name, which must be one of {@link #names()}. */
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
