package sagefall.persistence;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sagefall.balancer.api.EndpointPhase;

/**
 * The state that a sidecar persists across restarts: the sidecar's name, the number of its starts,
 * and the endpoints as discovery last reported them, including removed endpoints. The snapshot does
 * not include requests in flight. After a crash it is unknown which requests have run, so a later
 * incarnation must not send them again. Immutable.
 *
 * @param name name of the sidecar
 * @param epoch number of the incarnation; increases by one with each start
 * @param revision revision of the newest endpoint list; later lists have higher revisions
 * @param reportedAtMillis Unix time at which discovery reported this revision, in milliseconds
 * @param endpoints the endpoints by id; must not be modified
 */
public record EndpointSnapshot(
        String name,
        long epoch,
        long revision,
        long reportedAtMillis,
        Map<Long, SnapshotEntry> endpoints) {

    /**
     * Maximum number of removed endpoints in a snapshot. If there are more, the removed endpoints
     * with the earliest {@link SnapshotEntry#notReadySinceMillis} are dropped.
     */
    static final int MAX_REMOVED = 1024;

    /**
     * Returns the snapshot that precedes the first start: its epoch is 0, and it has no endpoints.
     */
    public static EndpointSnapshot empty(String name) {
        return withEpoch(name, 0);
    }

    /** Returns a snapshot without endpoints and with the given epoch. */
    static EndpointSnapshot withEpoch(String name, long epoch) {
        return new EndpointSnapshot(name, epoch, 0, 0, Map.of());
    }

    /** Returns this snapshot with the epoch of the next start. */
    EndpointSnapshot withNextEpoch() {
        return new EndpointSnapshot(name, epoch + 1, revision, reportedAtMillis, endpoints);
    }

    /** Returns this snapshot with a change applied. */
    public EndpointSnapshot with(SnapshotChange change) {
        Map<Long, SnapshotEntry> next = new LinkedHashMap<>(endpoints);
        if (change.complete()) {
            markUnlistedAsRemoved(next, change);
        }
        change.endpoints()
                .forEach(
                        (id, entry) ->
                                next.put(
                                        id,
                                        entry.withNotReadySince(
                                                next.get(id), change.reportedAtMillis())));
        dropOldestRemoved(next);
        return new EndpointSnapshot(
                name, epoch, change.revision(), change.reportedAtMillis(), next);
    }

    private static void markUnlistedAsRemoved(
            Map<Long, SnapshotEntry> entries, SnapshotChange change) {
        entries.replaceAll(
                (id, entry) ->
                        change.endpoints().containsKey(id)
                                ? entry
                                : entry.asRemoved(change.reportedAtMillis()));
    }

    private static void dropOldestRemoved(Map<Long, SnapshotEntry> entries) {
        List<SnapshotEntry> removed = new ArrayList<>(entries.values());
        removed.removeIf(entry -> entry.phase() != EndpointPhase.REMOVED);
        removed.sort(Comparator.comparingLong(SnapshotEntry::notReadySinceMillis));
        int excess = Math.max(0, removed.size() - MAX_REMOVED);
        for (SnapshotEntry entry : removed.subList(0, excess)) {
            entries.remove(entry.id());
        }
    }
}
