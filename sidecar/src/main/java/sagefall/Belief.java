package sagefall;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sagefall.LoadBalancer.ListKind;
import sagefall.LoadBalancer.Phase;
import sagefall.LoadBalancer.Server;

/**
 * What is believed of the servers after a start, until discovery tells something newer than was
 * kept.
 */
record Belief(long revision, boolean fresh, List<Server> list, Map<Long, Server> lines) {

    static final Belief NONE = new Belief(Long.MIN_VALUE, false, List.of(), Map.of());

    static Belief of(long revision, boolean fresh, List<Server> list) {
        Map<Long, Server> lines = new HashMap<>();
        for (Server s : list) lines.put(s.id(), s);
        return new Belief(revision, fresh, list, lines);
    }

    /**
     * A list that is behind what was kept: a fresh one stands in for the first, else it only
     * restricts.
     */
    List<Server> told(ListKind kind, long told, List<Server> older) {
        if (told >= revision) return older;
        return kind == ListKind.CACHED && fresh
                ? list
                : older.stream().map(this::restricted).toList();
    }

    /**
     * What was told to drain stays so, unless it has started anew; what had started since is as
     * cold.
     */
    private Server restricted(Server s) {
        Server kept = lines.get(s.id());
        if (kept == null || kept.startMicros() < s.startMicros()) return s;
        return kept.startMicros() > s.startMicros() || kept.phase() != Phase.READY ? kept : s;
    }
}
