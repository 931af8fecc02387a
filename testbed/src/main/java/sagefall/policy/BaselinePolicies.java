package sagefall.policy;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.LoadBalancer;
import sagefall.balancer.api.Request;
import sagefall.emulator.SettingsMessage;

/**
 * The textbook policies, and an oracle that sees the true state. Random gives a scenario its floor
 * and the oracle its top, which no policy that has to learn can be held to.
 */
public final class BaselinePolicies {

    private interface Maker {
        LoadBalancer make(BalancerSettings settings, BalancerActions actions, GroundTruth truth);
    }

    private static final Map<String, Maker> ALL =
            new TreeMap<>(
                    Map.of(
                            "random", (s, a, t) -> new RandomPick(s, a),
                            "round-robin", (s, a, t) -> new RoundRobin(s, a),
                            "least-in-flight", (s, a, t) -> new LeastInFlight(s, a),
                            "two-choices", (s, a, t) -> new TwoChoices(s, a),
                            "oracle", Oracle::new));

    private BaselinePolicies() {}

    /** How they are called. */
    public static List<String> names() {
        return List.copyOf(ALL.keySet());
    }

    /** The one of that name. */
    public static Policy of(String name) {
        Maker maker = ALL.get(name);
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
                    GroundTruth truth) {
                return maker.make(settings, actions, truth);
            }
        };
    }

    private static final class RandomPick extends BaselinePolicy {
        RandomPick(BalancerSettings settings, BalancerActions actions) {
            super(settings, actions);
        }

        @Override
        Known pick(long now, Request request, List<Known> ready) {
            return ready.get(random.nextInt(ready.size()));
        }
    }

    private static final class RoundRobin extends BaselinePolicy {
        private int next;

        RoundRobin(BalancerSettings settings, BalancerActions actions) {
            super(settings, actions);
            next = random.nextInt(1 << 20);
        }

        @Override
        Known pick(long now, Request request, List<Known> ready) {
            return ready.get(Math.floorMod(next++, ready.size()));
        }
    }

    private static final class LeastInFlight extends BaselinePolicy {
        LeastInFlight(BalancerSettings settings, BalancerActions actions) {
            super(settings, actions);
        }

        @Override
        Known pick(long now, Request request, List<Known> ready) {
            int least = Integer.MAX_VALUE;
            int equal = 0;
            Known best = null;
            for (Known s : ready) {
                if (s.out < least) {
                    least = s.out;
                    equal = 0;
                }
                if (s.out == least && random.nextInt(++equal) == 0) {
                    best = s;
                }
            }
            return best;
        }
    }

    /**
     * Two at random, the lower peak EWMA of latency x (1 + own in flight) wins; no tree, no limits.
     */
    private static final class TwoChoices extends BaselinePolicy {
        private static final double DECAY = 5e6;

        TwoChoices(BalancerSettings settings, BalancerActions actions) {
            super(settings, actions);
        }

        @Override
        Known pick(long now, Request request, List<Known> ready) {
            Known a = ready.get(random.nextInt(ready.size()));
            Known b = ready.get(random.nextInt(ready.size()));
            return cost(a) <= cost(b) ? a : b;
        }

        private static double cost(Known s) {
            return (Double.isNaN(s.latency) ? 0 : s.latency) * (1 + s.out);
        }

        @Override
        void learn(long now, Known s, long micros, boolean served) {
            double x = served ? micros : Math.max((double) micros, 1e6);
            boolean peak = Double.isNaN(s.latency) || x > s.latency;
            s.latency = peak ? x : x + (s.latency - x) * Math.exp(-(now - s.sampledAt) / DECAY);
            s.sampledAt = now;
        }
    }

    /**
     * Sends to where the answer would come first by the true state, and refuses what would come too
     * near to its aim: the rest is for the spread of the work, which even an oracle is not told.
     */
    private static final class Oracle extends BaselinePolicy {
        private static final double REACH = 0.5;

        private final GroundTruth truth;

        Oracle(BalancerSettings settings, BalancerActions actions, GroundTruth truth) {
            super(settings, actions);
            this.truth = truth;
        }

        @Override
        Known pick(long now, Request request, List<Known> ready) {
            Known best = null;
            double least = REACH * settings.classes().get(0).latencyObjectiveMicros();
            for (Known s : ready) {
                double micros = truth.expectedAnswerMicros(s.id, settings.zone());
                if (micros < least) {
                    least = micros;
                    best = s;
                }
            }
            return best;
        }
    }
}
