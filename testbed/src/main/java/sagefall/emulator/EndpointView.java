package sagefall.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sagefall.balancer.api.EndpointListKind;
import sagefall.balancer.api.EndpointPhase;
import sagefall.balancer.api.ListedEndpoint;

/**
 * Records the endpoint lists that one sidecar has received. The current list survives a restart of
 * the process. For the checks of invariants, the view also records what the current process has
 * received about each server. A restart of the process clears this record.
 */
final class EndpointView {

    private static final long AVAILABLE = 0;

    /**
     * What the current process of the sidecar has received about a server.
     *
     * @param startMicros listed start time of the server
     * @param unavailableSinceMicros time at which the server was first listed as draining or
     *     removed, or was first missing from a complete list; 0 if the server is ready
     */
    record Knowledge(long startMicros, long unavailableSinceMicros) {

        boolean isUnavailable() {
            return unavailableSinceMicros != AVAILABLE;
        }
    }

    private final Map<Long, Knowledge> knowledge = new HashMap<>();
    private final Map<Long, ListedEndpoint> current = new HashMap<>();

    /** Clears what the previous process of the sidecar had received about the servers. */
    void clearKnowledge() {
        knowledge.clear();
    }

    /**
     * Returns what the current process has received about a server; null if no list contained the
     * server.
     */
    Knowledge of(long serverId) {
        return knowledge.get(serverId);
    }

    boolean isEmpty() {
        return current.isEmpty();
    }

    List<ListedEndpoint> list() {
        return new ArrayList<>(current.values());
    }

    /** Applies a complete list or a list of changes. */
    void apply(long nowMicros, EndpointListKind kind, List<ListedEndpoint> endpoints) {
        if (kind != EndpointListKind.CHANGES) {
            markMissing(nowMicros, endpoints);
            current.clear();
        }
        for (ListedEndpoint endpoint : endpoints) {
            updateKnowledge(nowMicros, endpoint);
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
                            known.isUnavailable()
                                    ? known
                                    : new Knowledge(known.startMicros, nowMicros));
        }
    }

    private void updateKnowledge(long nowMicros, ListedEndpoint endpoint) {
        Knowledge before = knowledge.get(endpoint.id());
        long unavailableSinceMicros = nowMicros;
        if (endpoint.phase() == EndpointPhase.READY) {
            unavailableSinceMicros = AVAILABLE;
        } else if (before != null && before.isUnavailable()) {
            unavailableSinceMicros = before.unavailableSinceMicros;
        }
        knowledge.put(endpoint.id(), new Knowledge(endpoint.startMicros(), unavailableSinceMicros));
    }
}
