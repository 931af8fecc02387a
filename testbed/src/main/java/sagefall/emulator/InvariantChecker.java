package sagefall.emulator;

import java.util.ArrayList;
import java.util.List;
import sagefall.balancer.api.DeduplicationScope;
import sagefall.balancer.api.Idempotency;
import sagefall.balancer.api.RequestClass;
import sagefall.balancer.api.ServiceLimits;
import sagefall.emulator.ClientRequest.Attempt;

/**
 * What must hold whatever happens, checked on each event. A breach is a defect of the policy, or of
 * the model; either way the day's figures count for nothing.
 */
public final class InvariantChecker {

    /** What is checked. */
    public enum Rule {
        /** One final answer to each request, in time, and nothing sent for it after that. */
        ONE_ANSWER,
        /** What may have run is sent again, or refused, only as its class allows. */
        EFFECT,
        /** Nothing new to a server later than told that it drains or is gone, and the grace. */
        DRAIN,
        /** No cold server pushed over by the sum of all sidecars that knew it to be new. */
        COLD,
        /** Only servers that this sidecar's lists have named. */
        LISTED,
        /** No more attempts for a request than allowed. */
        ATTEMPTS
    }

    /** One breach, and how to see it again. */
    public record Breach(Rule rule, String request, long server, int sidecar, double second) {}

    private static final int KEPT = 100;

    private final EventQueue loop;
    private final RequestClass rules;
    private final ServiceLimits limits;
    private final long drainMicros;
    private final List<Breach> breaches = new ArrayList<>();
    private long count;

    InvariantChecker(EventQueue loop, RequestClass rules, ServiceLimits limits, long drainMicros) {
        this.loop = loop;
        this.rules = rules;
        this.limits = limits;
        this.drainMicros = drainMicros;
    }

    /** The first of them. */
    public List<Breach> breaches() {
        return List.copyOf(breaches);
    }

    /** How many there were. */
    public long count() {
        return count;
    }

    void breach(Rule rule, String request, long server, int sidecar) {
        count++;
        if (breaches.size() < KEPT) {
            breaches.add(
                    new Breach(
                            rule,
                            request,
                            server,
                            sidecar,
                            (loop.now() - EventQueue.START_MICROS) / 1e6));
        }
    }

    /** An attempt is about to be made. */
    void sent(
            EmulatedSidecar sidecar,
            ClientRequest call,
            String id,
            EmulatedServer server,
            long serverId) {
        if (call == null || call.finished) {
            breach(Rule.ONE_ANSWER, id, serverId, sidecar.index());
            return;
        }
        EmulatedSidecar.Told told = sidecar.told(serverId);
        if (told == null || server == null) {
            breach(Rule.LISTED, id, serverId, sidecar.index());
            return;
        }
        if (told.goneAt() != 0 && loop.now() > told.goneAt() + drainMicros) {
            breach(Rule.DRAIN, id, serverId, sidecar.index());
        }
        if (call.attempts.size() >= limits.maxAttempts()) {
            breach(Rule.ATTEMPTS, id, serverId, sidecar.index());
        }
        if (!mayRun(call, server)) {
            breach(Rule.EFFECT, id, serverId, sidecar.index());
        }
    }

    private boolean mayRun(ClientRequest call, EmulatedServer server) {
        Attempt first = mayHaveRun(call);
        if (first == null || rules.idempotency() == Idempotency.IDEMPOTENT) {
            return true;
        }
        return rules.idempotency() == Idempotency.IDEMPOTENCY_KEY
                && loop.now() - first.sentAt <= rules.deduplicationWindowMicros()
                && switch (rules.deduplicationScope()) {
                    case ALL -> true;
                    case ZONE -> first.server.zone == server.zone;
                    case CELL -> first.server.cell == server.cell;
                };
    }

    private static Attempt mayHaveRun(ClientRequest call) {
        for (Attempt a : call.attempts) {
            if (a.result == null || !a.result.provesNotRun) {
                return a;
            }
        }
        return null;
    }

    /** A refusal tells the client that to ask again is harmless. */
    void refused(EmulatedSidecar sidecar, ClientRequest call, String id) {
        named(sidecar, id);
        if (call != null
                && !call.finished
                && rules.idempotency() != Idempotency.IDEMPOTENT
                && mayHaveRun(call) != null
                && !(rules.idempotency() == Idempotency.IDEMPOTENCY_KEY
                        && rules.deduplicationScope() == DeduplicationScope.ALL)) {
            breach(Rule.EFFECT, id, mayHaveRun(call).server.id, sidecar.index());
        }
    }

    /**
     * A final answer names a request that this sidecar was given; one that has its answer is passed
     * over.
     */
    void named(EmulatedSidecar sidecar, String id) {
        if (!id.startsWith(sidecar.requestIdPrefix())) {
            breach(Rule.ONE_ANSWER, id, -1, sidecar.index());
        }
    }
}
