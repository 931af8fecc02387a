package sagefall.emulator;

import java.util.ArrayList;
import java.util.List;
import sagefall.balancer.api.DeduplicationScope;
import sagefall.balancer.api.Idempotency;
import sagefall.balancer.api.RequestClass;
import sagefall.balancer.api.ServiceLimits;

/**
 * Checks the actions of load balancers against the invariants, and records breaches. Other parts of
 * the simulation report breaches to the checker. A breach is a defect of the policy or of the
 * emulator. In both cases the results of the run are invalid.
 */
public final class InvariantChecker {

    /** The invariants. Their names are written to the results. */
    public enum Rule {
        /**
         * Each request gets one final response by its deadline plus the response grace time, and no
         * attempt is sent after the response.
         */
        ONE_ANSWER,
        /**
         * A request that has possibly been executed is retried or rejected only if its request
         * class allows this.
         */
        EFFECT,
        /**
         * A sidecar sends no attempt to a server after the drain grace time. The grace time begins
         * when the sidecar is notified that the server is draining, removed or no longer listed.
         */
        DRAIN,
        /**
         * A cold server is not overloaded by requests of sidecars that have received the start time
         * of the server.
         */
        COLD,
        /**
         * A sidecar sends attempts only to servers that one of its endpoint lists has contained.
         */
        LISTED,
        /** A request has at most the maximum number of attempts that the service sets. */
        ATTEMPTS
    }

    /**
     * A breach of an invariant.
     *
     * @param rule the invariant
     * @param request id of the request, or {@link #NO_REQUEST}
     * @param server id of the server, or {@link #NONE}
     * @param sidecar index of the sidecar, or {@link #NONE}
     * @param second time of the breach, in seconds since the start of the run
     */
    public record Breach(Rule rule, String request, long server, int sidecar, double second) {}

    /**
     * Server id of a breach that concerns no single server, and sidecar index of a breach that
     * concerns no single sidecar.
     */
    static final int NONE = -1;

    /** Request id in a breach that concerns no single request. */
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

    /** Returns the first {@value #MAX_RECORDED} breaches. */
    public List<Breach> breaches() {
        return List.copyOf(breaches);
    }

    /** Returns the number of all breaches. */
    public long count() {
        return count;
    }

    /** Records a breach. */
    void recordBreach(Rule rule, String request, long server, int sidecar) {
        count++;
        if (breaches.size() < MAX_RECORDED) {
            double second = (events.now() - EventQueue.START_MICROS) / 1e6;
            breaches.add(new Breach(rule, request, server, sidecar, second));
        }
    }

    /**
     * Checks an attempt that a sidecar is about to make.
     *
     * @param request the request with the id; null if no open request has the id
     * @param server the server with the id; null if no server has the id
     */
    void onSend(
            EmulatedSidecar sidecar,
            ClientRequest request,
            String requestId,
            EmulatedServer server,
            long serverId) {
        if (request == null || request.completed) {
            recordBreach(Rule.ONE_ANSWER, requestId, serverId, sidecar.index());
            return;
        }
        EndpointView.Knowledge known = sidecar.knowledgeOf(serverId);
        if (known == null || server == null) {
            recordBreach(Rule.LISTED, requestId, serverId, sidecar.index());
            return;
        }
        if (known.isUnavailable()
                && events.now() > known.unavailableSinceMicros() + drainGraceMicros) {
            recordBreach(Rule.DRAIN, requestId, serverId, sidecar.index());
        }
        if (request.attempts.size() >= limits.maxAttempts()) {
            recordBreach(Rule.ATTEMPTS, requestId, serverId, sidecar.index());
        }
        if (!mayExecute(request, server)) {
            recordBreach(Rule.EFFECT, requestId, serverId, sidecar.index());
        }
    }

    /**
     * Returns whether the request class allows the server to execute the request, considering the
     * first attempt that has possibly executed the request.
     */
    private boolean mayExecute(ClientRequest request, EmulatedServer server) {
        EmulatedAttempt first = firstPossiblyExecuted(request);
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

    private static EmulatedAttempt firstPossiblyExecuted(ClientRequest request) {
        for (EmulatedAttempt attempt : request.attempts) {
            if (attempt.mayHaveExecuted()) {
                return attempt;
            }
        }
        return null;
    }

    /**
     * Checks that a request that has possibly been executed is rejected only if a retry of it is
     * safe. The client concludes from a rejection that it may retry.
     */
    void onReject(EmulatedSidecar sidecar, ClientRequest request, String requestId) {
        onFinalResponse(sidecar, requestId);
        if (request == null || request.completed || isRetrySafe()) {
            return;
        }
        EmulatedAttempt first = firstPossiblyExecuted(request);
        if (first != null) {
            recordBreach(Rule.EFFECT, requestId, first.server.id, sidecar.index());
        }
    }

    private boolean isRetrySafe() {
        return requestClass.idempotency() == Idempotency.IDEMPOTENT
                || (requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                        && requestClass.deduplicationScope() == DeduplicationScope.ALL);
    }

    /**
     * Checks that a final response belongs to a request of the current process of the sidecar. A
     * second response to a request is not a breach, because the sidecar drops it.
     */
    void onFinalResponse(EmulatedSidecar sidecar, String requestId) {
        if (!requestId.startsWith(sidecar.requestIdPrefix())) {
            recordBreach(Rule.ONE_ANSWER, requestId, NONE, sidecar.index());
        }
    }
}
