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

/**
 * Checks that the invariant checker detects the breach of each invariant. For each invariant, a
 * mutated policy breaks the invariant. Also checks that the load balancer breaks no invariant.
 */
class InvariantCheckerTest {

    /**
     * Returns a scenario with draining servers, cold servers and error responses. Without these
     * servers and responses, the mutants could not break their invariants.
     */
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

    /** Wraps the random policy and replaces some of its decisions to break an invariant. */
    private static final class Mutant implements InvocationHandler {
        /**
         * Number of requests from one mutated request to the next. The mutants for {@link
         * Rule#COLD} and {@link Rule#EFFECT} do not use this interval.
         */
        private static final int MUTATION_INTERVAL = 20;

        private static final long UNLISTED_SERVER = 7;

        /**
         * Index, from 0, of the last attempt that the mutant for {@link Rule#ATTEMPTS} sends for a
         * request.
         */
        private static final int ATTEMPT_NUMBER_LIMIT = 7;

        private final Rule rule;
        private final LoadBalancer inner;
        private final BalancerActions actions;
        private final Map<String, Long> mutatedRequests = new HashMap<>();
        private int requests;
        private long newestReadyServer;
        private long drainingServer;

        /**
         * Handles an event instead of the wrapped policy if this is needed to break the rule.
         * Returns whether the event was handled. If the mutant has sent a request, the mutant also
         * handles the outcomes of the attempts and sends the final response.
         */
        private boolean replaceEvent(String event, Object[] arguments) {
            if (event.equals("onEndpointList")) {
                for (Object element : (List<?>) arguments[2]) {
                    ListedEndpoint endpoint = (ListedEndpoint) element;
                    newestReadyServer =
                            endpoint.startMicros() > 0 && endpoint.phase() == EndpointPhase.READY
                                    ? endpoint.id()
                                    : newestReadyServer;
                    drainingServer =
                            endpoint.phase() == EndpointPhase.DRAINING
                                    ? endpoint.id()
                                    : drainingServer;
                }
                return false;
            }
            if (event.equals("onRequest")) {
                String id = ((Request) arguments[1]).id();
                boolean selected = ++requests % MUTATION_INTERVAL == 0;
                return switch (rule) {
                    case ONE_ANSWER -> selected;
                    case DRAIN, ATTEMPTS -> selected && sendMutated(id, drainingServer);
                    case COLD -> sendMutated(id, newestReadyServer);
                    case LISTED -> selected && sendMutated(id, UNLISTED_SERVER);
                    case EFFECT -> false;
                };
            }
            if (!event.equals("onAttemptOutcome")) {
                return false;
            }
            AttemptOutcome outcome = (AttemptOutcome) arguments[1];
            if (rule == Rule.EFFECT
                    && outcome.result() == AttemptResult.ERROR
                    && !outcome.closed()) {
                actions.reject(outcome.requestId(), 0, RejectionReason.NOT_RETRYABLE);
                return true;
            }
            if (mutatedRequests.containsKey(outcome.requestId()) && !outcome.closed()) {
                if (rule == Rule.ATTEMPTS && outcome.attempt() < ATTEMPT_NUMBER_LIMIT) {
                    return sendMutated(outcome.requestId(), outcome.endpoint());
                }
                actions.fail(outcome.requestId(), RejectionReason.NOT_RETRYABLE);
            }
            return mutatedRequests.containsKey(outcome.requestId());
        }

        private boolean sendMutated(String id, long server) {
            if (server != 0) {
                mutatedRequests.put(id, server);
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
            if (!replaceEvent(method.getName(), arguments)
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
    void breachOfEachInvariantIsDetected(Rule rule) throws Exception {
        SimulationResult result = new FleetSimulation(scenario(), 3, mutant(rule)).run();
        assertTrue(
                result.breaches().stream().anyMatch(breach -> breach.rule() == rule),
                rule + " is not among the recorded breaches; total: " + result.breachCount());
    }

    @Test
    void loadBalancerBreaksNoInvariantWhileServersAreReplacedAndReturnErrors() throws Exception {
        for (long seed = 1; seed <= 4; seed++) {
            assertEquals(
                    List.of(),
                    new FleetSimulation(scenario(), seed, new ModulePolicy()).run().breaches());
        }
    }
}
