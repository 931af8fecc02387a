package sagefall.emulator;

import java.util.ArrayList;
import java.util.List;
import sagefall.balancer.api.DeduplicationScope;
import sagefall.balancer.api.Idempotency;
import sagefall.balancer.api.RequestClass;
import sagefall.balancer.api.ServiceLimits;

/**
 * What must hold whatever happens, checked on each action. A breach is a defect of the policy, or
 * of the emulator; either way the figures of the run are void.
 */
public final class InvariantChecker {

    /** What is checked. The names stand in results. */
    public enum Rule {
        /** One final answer to each request, in time, and nothing sent for it after that. */
        ONE_ANSWER,
        /** What may have run is retried, or rejected, only as its class allows. */
        EFFECT,
        /** Nothing new to a server that is known to drain or to be gone, after the grace. */
        DRAIN,
        /** No cold server overloaded by the sum of all sidecars that knew it to be new. */
        COLD,
        /** Only servers that this sidecar's lists have named. */
        LISTED,
        /** No more attempts for a request than allowed. */
        ATTEMPTS
    }

    /**
     * One breach, and how to reproduce it.
     *
     * @param rule what was broken
     * @param request id of the request, or {@link #NO_REQUEST}
     * @param server id of the server, or {@link #NONE}
     * @param sidecar index of the sidecar, or {@link #NONE}
     * @param second of the run
     */
    public record Breach(Rule rule, String request, long server, int sidecar, double second) {}

    /** In place of a server or a sidecar where there is none. */
    static final int NONE = -1;

    /** In place of a request where there is none. */
    static final String NO_REQUEST = "-";

    private static final int MAX_RECORDED = 100;

    private final EventQueue events;
    private final RequestClass requestClass;
    private final ServiceLimits limits;
    private final long drainGraceMicros;
    private final List<Breach> breaches = new ArrayList<>();
    private long count;

    InvariantChecker(
            EventQueue events,
            RequestClass requestClass,
            ServiceLimits limits,
            long drainGraceMicros) {
        this.events = events;
        this.requestClass = requestClass;
        this.limits = limits;
        this.drainGraceMicros = drainGraceMicros;
    }

    /** The first {@value #MAX_RECORDED} breaches. */
    public List<Breach> breaches() {
        return List.copyOf(breaches);
    }

    /** How many breaches there were. */
    public long count() {
        return count;
    }

    /** Records a breach. */
    void breach(Rule rule, String request, long server, int sidecar) {
        count++;
        if (breaches.size() < MAX_RECORDED) {
            double second = (events.now() - EventQueue.START_MICROS) / 1e6;
            breaches.add(new Breach(rule, request, server, sidecar, second));
        }
    }

    /**
     * A sidecar is about to make an attempt.
     *
     * @param request null where no open request has the id
     * @param server null where no server has the id
     */
    void onSend(
            EmulatedSidecar sidecar,
            ClientRequest request,
            String requestId,
            EmulatedServer server,
            long serverId) {
        if (request == null || request.finished) {
            breach(Rule.ONE_ANSWER, requestId, serverId, sidecar.index());
            return;
        }
        EndpointView.Knowledge known = sidecar.knowledgeOf(serverId);
        if (known == null || server == null) {
            breach(Rule.LISTED, requestId, serverId, sidecar.index());
            return;
        }
        if (known.isGone() && events.now() > known.goneAtMicros() + drainGraceMicros) {
            breach(Rule.DRAIN, requestId, serverId, sidecar.index());
        }
        if (request.attempts.size() >= limits.maxAttempts()) {
            breach(Rule.ATTEMPTS, requestId, serverId, sidecar.index());
        }
        if (!mayExecute(request, server)) {
            breach(Rule.EFFECT, requestId, serverId, sidecar.index());
        }
    }

    /** Whether the request may be executed there, after what its attempts may have executed. */
    private boolean mayExecute(ClientRequest request, EmulatedServer server) {
        EmulatedAttempt first = firstThatMayHaveExecuted(request);
        if (first == null || requestClass.idempotency() == Idempotency.IDEMPOTENT) {
            return true;
        }
        return requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                && events.now() - first.startedAtMicros <= requestClass.deduplicationWindowMicros()
                && sharesDeduplication(first.server, server);
    }

    private boolean sharesDeduplication(EmulatedServer first, EmulatedServer second) {
        return switch (requestClass.deduplicationScope()) {
            case ALL -> true;
            case ZONE -> first.zone == second.zone;
            case CELL -> first.cell == second.cell;
        };
    }

    private static EmulatedAttempt firstThatMayHaveExecuted(ClientRequest request) {
        for (EmulatedAttempt attempt : request.attempts) {
            if (attempt.mayHaveExecuted()) {
                return attempt;
            }
        }
        return null;
    }

    /** A rejection tells the client that a retry is harmless. */
    void onReject(EmulatedSidecar sidecar, ClientRequest request, String requestId) {
        onAnswer(sidecar, requestId);
        if (request == null || request.finished || isRetryHarmless()) {
            return;
        }
        EmulatedAttempt first = firstThatMayHaveExecuted(request);
        if (first != null) {
            breach(Rule.EFFECT, requestId, first.server.id, sidecar.index());
        }
    }

    private boolean isRetryHarmless() {
        return requestClass.idempotency() == Idempotency.IDEMPOTENT
                || (requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                        && requestClass.deduplicationScope() == DeduplicationScope.ALL);
    }

    /**
     * A final answer names a request that this sidecar was given; a second answer to one is
     * ignored.
     */
    void onAnswer(EmulatedSidecar sidecar, String requestId) {
        if (!requestId.startsWith(sidecar.requestIdPrefix())) {
            breach(Rule.ONE_ANSWER, requestId, NONE, sidecar.index());
        }
    }
}
