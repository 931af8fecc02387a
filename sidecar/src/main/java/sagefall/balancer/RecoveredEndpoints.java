package sagefall.balancer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sagefall.balancer.api.EndpointListKind;
import sagefall.balancer.api.EndpointPhase;
import sagefall.balancer.api.ListedEndpoint;

/**
 * What is believed of the servers after a start, until discovery tells something newer than was
 * kept.
 */
record RecoveredEndpoints(
        long revision, boolean fresh, List<ListedEndpoint> list, Map<Long, ListedEndpoint> lines) {

    static final RecoveredEndpoints NONE =
            new RecoveredEndpoints(Long.MIN_VALUE, false, List.of(), Map.of());

    static RecoveredEndpoints of(long revision, boolean fresh, List<ListedEndpoint> list) {
        Map<Long, ListedEndpoint> lines = new HashMap<>();
        for (ListedEndpoint s : list) lines.put(s.id(), s);
        return new RecoveredEndpoints(revision, fresh, list, lines);
    }

    /**
     * A list that is behind what was kept: a fresh one stands in for the first, else it only
     * restricts.
     */
    List<ListedEndpoint> told(EndpointListKind kind, long told, List<ListedEndpoint> older) {
        if (told >= revision) return older;
        return kind == EndpointListKind.CACHED && fresh
                ? list
                : older.stream().map(this::restricted).toList();
    }

    /**
     * What was told to drain stays so, unless it has started anew; what had started since is as
     * cold.
     */
    private ListedEndpoint restricted(ListedEndpoint s) {
        ListedEndpoint kept = lines.get(s.id());
        if (kept == null || kept.startMicros() < s.startMicros()) return s;
        return kept.startMicros() > s.startMicros() || kept.phase() != EndpointPhase.READY
                ? kept
                : s;
    }
}
