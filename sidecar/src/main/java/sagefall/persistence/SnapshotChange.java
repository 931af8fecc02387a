package sagefall.persistence;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A change that discovery reported: a complete endpoint list, or the endpoints that have changed.
 *
 * @param complete whether the change is a complete list
 * @param revision revision of the endpoint list after this change
 * @param reportedAtMillis Unix time at which discovery reported the change, in milliseconds
 * @param endpoints the endpoints by id; must not be modified
 */
public record SnapshotChange(
        boolean complete,
        long revision,
        long reportedAtMillis,
        Map<Long, SnapshotEntry> endpoints) {

    /** Returns one change with the combined effect of this change followed by the next one. */
    public SnapshotChange then(SnapshotChange next) {
        if (next.complete) {
            return next;
        }
        Map<Long, SnapshotEntry> merged = new LinkedHashMap<>(endpoints);
        merged.putAll(next.endpoints);
        return new SnapshotChange(complete, next.revision, next.reportedAtMillis, merged);
    }

    /**
     * Returns one change with the combined effect of the pending change followed by the next one.
     *
     * @param pending change that is not yet written; null if there is none
     */
    public static SnapshotChange merge(SnapshotChange pending, SnapshotChange next) {
        return pending == null ? next : pending.then(next);
    }
}
