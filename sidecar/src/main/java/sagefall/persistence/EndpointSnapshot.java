package sagefall.persistence;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sagefall.balancer.api.EndpointPhase;

/**
 * What a sidecar persists over its restarts: its name, how often it has started, and the endpoints
 * as discovery last reported them, removed ones included. Requests in flight are not part of it: a
 * crash proves nothing about what has run, so no later incarnation may send one again. Immutable.
 *
 * @param name of the sidecar
 * @param epoch grows with each start
 * @param revision of the newest list; what discovery reports later has a greater one
 * @param atMillis when that was reported, in Unix time
 * @param lines the endpoints by id; never changed
 */
public record EndpointSnapshot(
        String name, long epoch, long revision, long atMillis, Map<Long, SnapshotEntry> endpoints) {

    /** The most removed endpoints that a snapshot remembers; the latest ones stay. */
    static final int MAX_REMOVED = 1024;

    /** A snapshot without endpoints, of before the first start. */
    public static EndpointSnapshot empty(String name) {
        return withEpoch(name, 0);
    }

    /** A snapshot without endpoints, after that many starts. */
    static EndpointSnapshot withEpoch(String name, long epoch) {
        return new EndpointSnapshot(name, epoch, 0, 0, Map.of());
    }

    /** The same for the next start. */
    EndpointSnapshot withNextEpoch() {
        return new EndpointSnapshot(name, epoch + 1, revision, atMillis, endpoints);
    }

    /** This snapshot with a change applied. */
    public EndpointSnapshot with(SnapshotChange change) {
        Map<Long, SnapshotEntry> next = new LinkedHashMap<>(endpoints);
        if (change.complete()) {
            removeUnlisted(next, change);
        }
        change.endpoints()
                .forEach(
                        (id, entry) ->
                                next.put(id, entry.reportedAfter(next.get(id), change.atMillis())));
        forgetOldestRemoved(next);
        return new EndpointSnapshot(name, epoch, change.revision(), change.atMillis(), next);
    }

    private static void removeUnlisted(Map<Long, SnapshotEntry> entries, SnapshotChange change) {
        entries.replaceAll(
                (id, entry) ->
                        change.endpoints().containsKey(id)
                                ? entry
                                : entry.removed(change.atMillis()));
    }

    private static void forgetOldestRemoved(Map<Long, SnapshotEntry> entries) {
        List<SnapshotEntry> removed = new ArrayList<>(entries.values());
        removed.removeIf(entry -> entry.phase() != EndpointPhase.REMOVED);
        removed.sort(Comparator.comparingLong(SnapshotEntry::leavingSinceMillis));
        int excess = Math.max(0, removed.size() - MAX_REMOVED);
        for (SnapshotEntry entry : removed.subList(0, excess)) {
            entries.remove(entry.id());
        }
    }
}
