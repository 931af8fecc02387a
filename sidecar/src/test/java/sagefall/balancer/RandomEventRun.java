package sagefall.balancer;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import sagefall.balancer.api.AttemptOutcome;
import sagefall.balancer.api.AttemptResult;
import sagefall.balancer.api.DeduplicationScope;
import sagefall.balancer.api.EndpointListKind;
import sagefall.balancer.api.EndpointPhase;
import sagefall.balancer.api.Idempotency;
import sagefall.balancer.api.ListedEndpoint;

/**
 * Runs random valid events, and checks each action that follows. Each request must get at most one
 * final response, and no attempt after that response. The number of attempts must not exceed the
 * maximum. The idempotency of the request must allow each retry and each rejection. No attempt may
 * be sent to a draining server.
 */
final class RandomEventRun {
    private static final int SERVERS = 7;
    private static final int MAX_ATTEMPTS = 4;

    private record InFlight(String request, int attempt, long server, long sentAt) {}

    private final Idempotency idempotency;
    private final SplittableRandom random = new SplittableRandom(11);
    private final RecordingActions host;
    private final Map<String, Integer> attempts = new HashMap<>();
    private final Map<String, Boolean> mayHaveRun = new HashMap<>();
    private final Map<String, Boolean> closed = new HashMap<>();
    private final Map<Long, Boolean> draining = new HashMap<>();
    private final List<InFlight> inFlight = new ArrayList<>();
    private int checkedActions;

    RandomEventRun(Idempotency idempotency) {
        this.idempotency = idempotency;
        host =
                new RecordingActions(
                        RecordingActions.settings(idempotency, DeduplicationScope.ZONE), SERVERS);
    }

    /** Returns the number of requests for which at least one attempt was sent. */
    int requestsSent() {
        return attempts.size();
    }

    /**
     * Runs the given number of steps, and checks the actions after each step. A step consists of at
     * most one random event and the timers that are due.
     */
    void run(int steps) {
        for (int step = 0; step < steps; step++) {
            host.now += random.nextInt(4000);
            runEvent(step);
            fireDueTimers();
            checkNewActions();
        }
    }

    private void runEvent(int step) {
        if (random.nextInt(3) == 0) {
            String id = "q" + step;
            closed.put(id, false);
            host.request(id);
        } else if (!inFlight.isEmpty() && random.nextInt(3) > 0) {
            endAttempt(inFlight.remove(random.nextInt(inFlight.size())));
        } else if (random.nextInt(40) == 0) {
            changeList();
        }
    }

    private void endAttempt(InFlight attempt) {
        AttemptResult[] results = AttemptResult.values();
        boolean served = random.nextInt(4) > 0;
        AttemptResult result =
                served ? AttemptResult.SERVED : results[random.nextInt(results.length)];
        boolean nowClosed = closed.get(attempt.request) || result == AttemptResult.SERVED;
        if (!result.provesNotExecuted) {
            mayHaveRun.put(attempt.request, true);
        }
        closed.put(attempt.request, nowClosed);
        host.balancer.onAttemptOutcome(
                host.now,
                new AttemptOutcome(
                        attempt.request,
                        attempt.attempt,
                        attempt.server,
                        result,
                        host.now - attempt.sentAt,
                        nowClosed,
                        null));
    }

    private void changeList() {
        long id = 1L + random.nextInt(SERVERS);
        boolean drain = random.nextBoolean();
        draining.put(id, drain);
        EndpointPhase phase = drain ? EndpointPhase.DRAINING : EndpointPhase.READY;
        ListedEndpoint entry =
                new ListedEndpoint(id, (int) (id - 1) % 2, 0, (int) id % 3, phase, 0, 1);
        host.balancer.onEndpointList(host.now, EndpointListKind.CHANGES, List.of(entry));
    }

    private void fireDueTimers() {
        for (long[] timer : List.copyOf(host.timers)) {
            if (timer[0] <= host.now) {
                host.timers.remove(timer);
                host.balancer.onTimer(host.now, timer[1]);
            }
        }
    }

    private void checkNewActions() {
        while (checkedActions < host.actions.size()) {
            String[] action = host.actions.get(checkedActions).split(" ", 0);
            checkedActions++;
            switch (action[0]) {
                case "send" -> checkSend(action[1], Long.parseLong(action[2]));
                case "reject" -> checkReject(action[1]);
                case "fail" -> checkFinalResponse(action[1]);
                default -> {}
            }
        }
    }

    private void checkSend(String request, long server) {
        assertFalse(closed.get(request), "sent after the request was closed");
        assertFalse(draining.getOrDefault(server, false), "sent to a draining server");
        assertTrue(
                idempotency != Idempotency.NOT_IDEMPOTENT
                        || !mayHaveRun.getOrDefault(request, false),
                "request was retried although it may have run");
        int number = attempts.merge(request, 1, Integer::sum) - 1;
        assertTrue(number < MAX_ATTEMPTS, "more than the maximum number of attempts");
        assertTrue(
                idempotency == Idempotency.IDEMPOTENT
                        || inFlight.stream().noneMatch(a -> a.request.equals(request)),
                "another attempt of the request is in flight");
        inFlight.add(new InFlight(request, number, server, host.now));
    }

    private void checkReject(String request) {
        checkFinalResponse(request);
        assertTrue(
                idempotency == Idempotency.IDEMPOTENT || !mayHaveRun.getOrDefault(request, false),
                "request was rejected although it may have run");
    }

    private void checkFinalResponse(String request) {
        assertFalse(closed.put(request, true), "request got a second final response");
    }
}
