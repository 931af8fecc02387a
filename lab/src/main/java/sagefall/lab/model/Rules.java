package sagefall.lab.model;

import java.util.ArrayList;
import java.util.List;
import sagefall.LoadBalancer.Effect;
import sagefall.LoadBalancer.Group;
import sagefall.LoadBalancer.Limits;
import sagefall.LoadBalancer.RequestClass;
import sagefall.lab.model.Call.Attempt;

/**
 * What must hold whatever happens, checked on each event. A breach is a defect of the policy, or of
 * the model; either way the day's figures count for nothing.
 */
public final class Rules {

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

    private final Loop loop;
    private final RequestClass rules;
    private final Limits limits;
    private final long drainMicros;
    private final List<Breach> breaches = new ArrayList<>();
    private long count;

    Rules(Loop loop, RequestClass rules, Limits limits, long drainMicros) {
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
                    new Breach(rule, request, server, sidecar, (loop.now() - Loop.BEGIN) / 1e6));
        }
    }

    /** An attempt is about to be made. */
    void sent(Sidecar sidecar, Call call, String id, SaveServer server, long serverId) {
        if (call == null || call.over) {
            breach(Rule.ONE_ANSWER, id, serverId, sidecar.index());
            return;
        }
        Sidecar.Told told = sidecar.told(serverId);
        if (told == null || server == null) {
            breach(Rule.LISTED, id, serverId, sidecar.index());
            return;
        }
        if (told.goneAt() != 0 && loop.now() > told.goneAt() + drainMicros) {
            breach(Rule.DRAIN, id, serverId, sidecar.index());
        }
        if (call.attempts.size() >= limits.attempts()) {
            breach(Rule.ATTEMPTS, id, serverId, sidecar.index());
        }
        if (!mayRun(call, server)) {
            breach(Rule.EFFECT, id, serverId, sidecar.index());
        }
    }

    private boolean mayRun(Call call, SaveServer server) {
        Attempt first = mayHaveRun(call);
        if (first == null || rules.effect() == Effect.SAFE) {
            return true;
        }
        return rules.effect() == Effect.KEYED
                && loop.now() - first.sentAt <= rules.dedupWindowMicros()
                && switch (rules.group()) {
                    case ALL -> true;
                    case ZONE -> first.server.zone == server.zone;
                    case CELL -> first.server.cell == server.cell;
                };
    }

    private static Attempt mayHaveRun(Call call) {
        for (Attempt a : call.attempts) {
            if (a.result == null || !a.result.provesNotRun) {
                return a;
            }
        }
        return null;
    }

    /** A refusal tells the client that to ask again is harmless. */
    void refused(Sidecar sidecar, Call call, String id) {
        named(sidecar, id);
        if (call != null
                && !call.over
                && rules.effect() != Effect.SAFE
                && mayHaveRun(call) != null
                && !(rules.effect() == Effect.KEYED && rules.group() == Group.ALL)) {
            breach(Rule.EFFECT, id, mayHaveRun(call).server.id, sidecar.index());
        }
    }

    /**
     * A final answer names a request that this sidecar was given; one that has its answer is passed
     * over.
     */
    void named(Sidecar sidecar, String id) {
        if (!id.startsWith(sidecar.prefix())) {
            breach(Rule.ONE_ANSWER, id, -1, sidecar.index());
        }
    }
}
