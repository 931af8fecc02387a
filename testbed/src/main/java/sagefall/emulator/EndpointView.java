package sagefall.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sagefall.balancer.api.EndpointListKind;
import sagefall.balancer.api.EndpointPhase;
import sagefall.balancer.api.ListedEndpoint;

/**
 * What one sidecar knows of the servers: the current list, which outlives its process, and for the
 * invariants what its present process knows of each server.
 */
final class EndpointView {

    private static final long NOT_GONE = 0;

    /**
     * What the present process of the sidecar knows of a server.
     *
     * @param startMicros when the server started, as listed
     * @param goneAtMicros when it was first listed as draining or was missing; 0: it is ready
     */
    record Knowledge(long startMicros, long goneAtMicros) {

        boolean isGone() {
            return goneAtMicros != NOT_GONE;
        }
    }

    private final Map<Long, Knowledge> knowledge = new HashMap<>();
    private final Map<Long, ListedEndpoint> current = new HashMap<>();

    /** A new process of the sidecar knows nothing. */
    void forgetKnowledge() {
        knowledge.clear();
    }

    /** What the present process knows of a server; null where its lists never named it. */
    Knowledge of(long serverId) {
        return knowledge.get(serverId);
    }

    boolean isEmpty() {
        return current.isEmpty();
    }

    List<ListedEndpoint> list() {
        return new ArrayList<>(current.values());
    }

    /** Applies a list, or changes to it. */
    void apply(long nowMicros, EndpointListKind kind, List<ListedEndpoint> endpoints) {
        if (kind != EndpointListKind.CHANGES) {
            markMissing(nowMicros, endpoints);
            current.clear();
        }
        for (ListedEndpoint endpoint : endpoints) {
            learn(nowMicros, endpoint);
            if (endpoint.phase() == EndpointPhase.REMOVED) {
                current.remove(endpoint.id());
            } else {
                current.put(endpoint.id(), endpoint);
            }
        }
    }

    private void markMissing(long nowMicros, List<ListedEndpoint> endpoints) {
        Map<Long, ListedEndpoint> missing = new HashMap<>(current);
        endpoints.forEach(endpoint -> missing.remove(endpoint.id()));
        for (Long id : missing.keySet()) {
            knowledge.computeIfPresent(
                    id,
                    (key, known) ->
                            known.isGone() ? known : new Knowledge(known.startMicros, nowMicros));
        }
    }

    private void learn(long nowMicros, ListedEndpoint endpoint) {
        Knowledge before = knowledge.get(endpoint.id());
        long goneAtMicros = nowMicros;
        if (endpoint.phase() == EndpointPhase.READY) {
            goneAtMicros = NOT_GONE;
        } else if (before != null && before.isGone()) {
            goneAtMicros = before.goneAtMicros;
        }
        knowledge.put(endpoint.id(), new Knowledge(endpoint.startMicros(), goneAtMicros));
    }
}
