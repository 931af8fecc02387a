package sagefall.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import sagefall.balancer.api.AttemptOutcome;
import sagefall.balancer.api.AttemptResult;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.EndpointPhase;
import sagefall.balancer.api.ListedEndpoint;
import sagefall.balancer.api.LoadBalancer;
import sagefall.balancer.api.RejectionReason;
import sagefall.balancer.api.Request;
import sagefall.emulator.InvariantChecker.Rule;
import sagefall.policy.BaselinePolicies;
import sagefall.policy.GroundTruth;
import sagefall.policy.ModulePolicy;
import sagefall.policy.Policy;
import sagefall.scenario.Scenario;

/** Each invariant has a mutant that breaks it and is detected; the load balancer breaks none. */
class InvariantCheckerTest {

    private static Scenario scenario() throws Exception {
        return Scenario.read(
                "rules.toml",
                """
                name = "rules"
                seconds = 12
                [fleet]
                sidecars = 8
                servers = 12
                zones = ["a", "b"]
                [[fault]]
                kind = "replace"
                at_s = 2
                for_s = 1
                part = 0.5
                [[fault]]
                kind = "errors"
                at_s = 1
                for_s = 10
                part = 0.2
                size = 0.5
                """,
                List.of());
    }

    /** An instance of random choice that a mutation comes before. */
    private static final class Mutant implements InvocationHandler {
        private final Rule rule;
        private final LoadBalancer inner;
        private final BalancerActions actions;
        private final Map<String, Long> mutated = new HashMap<>();
        private int requests;
        private long newest;
        private long oldest;

        /** Whether the mutation took the event's place; what it began it also ends. */
        private boolean mutated(String event, Object[] arguments) {
            if (event.equals("onEndpointList")) {
                for (Object line : (List<?>) arguments[2]) {
                    ListedEndpoint s = (ListedEndpoint) line;
                    newest =
                            s.startMicros() > 0 && s.phase() == EndpointPhase.READY
                                    ? s.id()
                                    : newest;
                    oldest = s.phase() == EndpointPhase.DRAINING ? s.id() : oldest;
                }
                return false;
            }
            if (event.equals("onRequest")) {
                String id = ((Request) arguments[1]).id();
                boolean some = ++requests % 20 == 0;
                return switch (rule) {
                    case ONE_ANSWER -> some;
                    case DRAIN, ATTEMPTS -> some && sent(id, oldest);
                    case COLD -> sent(id, newest);
                    case LISTED -> some && sent(id, 7);
                    case EFFECT -> false;
                };
            }
            if (!event.equals("onAttemptOutcome")) {
                return false;
            }
            AttemptOutcome o = (AttemptOutcome) arguments[1];
            if (rule == Rule.EFFECT && o.result() == AttemptResult.ERROR && !o.closed()) {
                actions.reject(o.requestId(), 0, RejectionReason.NOT_RETRYABLE);
                return true;
            }
            if (mutated.containsKey(o.requestId()) && !o.closed()) {
                if (rule == Rule.ATTEMPTS && o.attempt() < 7) {
                    return sent(o.requestId(), o.endpoint());
                }
                actions.fail(o.requestId(), RejectionReason.NOT_RETRYABLE);
            }
            return mutated.containsKey(o.requestId());
        }

        private boolean sent(String id, long server) {
            if (server != 0) {
                mutated.put(id, server);
                actions.send(id, server, 0, Long.MAX_VALUE);
            }
            return server != 0;
        }

        Mutant(Rule rule, LoadBalancer inner, BalancerActions actions) {
            this.rule = rule;
            this.inner = inner;
            this.actions = actions;
        }

        @Override
        public Object invoke(Object proxy, Method method, Object[] arguments) throws Throwable {
            if (!mutated(method.getName(), arguments)
                    || method.getName().equals("onEndpointList")) {
                try {
                    method.invoke(inner, arguments);
                } catch (InvocationTargetException e) {
                    throw e.getCause();
                }
            }
            return null;
        }
    }

    private static Policy mutant(Rule rule) {
        Policy random = BaselinePolicies.of("random");
        return new Policy() {
            @Override
            public String name() {
                return "mutant-" + rule;
            }

            @Override
            public LoadBalancer create(
                    BalancerSettings settings,
                    SettingsMessage message,
                    BalancerActions actions,
                    GroundTruth groundTruth) {
                return (LoadBalancer)
                        Proxy.newProxyInstance(
                                getClass().getClassLoader(),
                                new Class<?>[] {LoadBalancer.class},
                                new Mutant(
                                        rule,
                                        random.create(settings, message, actions, groundTruth),
                                        actions));
            }
        };
    }

    @ParameterizedTest
    @EnumSource(Rule.class)
    void mutantIsDetected(Rule rule) throws Exception {
        SimulationResult r = new FleetSimulation(scenario(), 3, mutant(rule)).run();
        assertTrue(
                r.breaches().stream().anyMatch(b -> b.rule() == rule),
                rule + " not among " + r.breachCount());
    }

    @Test
    void loadBalancerBreaksNoInvariant() throws Exception {
        for (long seed = 1; seed <= 4; seed++) {
            assertEquals(
                    List.of(),
                    new FleetSimulation(scenario(), seed, new ModulePolicy()).run().breaches());
        }
    }
}
