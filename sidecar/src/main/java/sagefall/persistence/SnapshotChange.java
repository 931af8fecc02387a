package sagefall.persistence;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What discovery reported: the complete list, or the endpoints that have changed.
 *
 * @param complete whether the endpoints are all that there are
 * @param revision of the list with this change applied
 * @param atMillis when it was reported, in Unix time
 * @param endpoints by id; never changed
 */
public record SnapshotChange(
        boolean complete, long revision, long atMillis, Map<Long, SnapshotEntry> endpoints) {

    /** Both changes in one, the other one applied after this one. */
    public SnapshotChange then(SnapshotChange next) {
        if (next.complete) {
            return next;
        }
        Map<Long, SnapshotEntry> merged = new LinkedHashMap<>(endpoints);
        merged.putAll(next.endpoints);
        return new SnapshotChange(complete, next.revision, next.atMillis, merged);
    }

    /** The next change merged into what is pending, which is null if nothing is. */
    public static SnapshotChange merge(SnapshotChange pending, SnapshotChange next) {
        return pending == null ? next : pending.then(next);
    }
}
