package sagefall.persistence;

import java.util.LinkedHashMap;
import java.util.Map;

/** What discovery told: the whole list, or what has changed. */
public record SnapshotChange(
        boolean all, long revision, long atMillis, Map<Long, SnapshotEntry> lines) {

    /** Both, one after the other. */
    public SnapshotChange then(SnapshotChange next) {
        if (next.all) {
            return next;
        }
        Map<Long, SnapshotEntry> merged = new LinkedHashMap<>(lines);
        merged.putAll(next.lines);
        return new SnapshotChange(all, next.revision, next.atMillis, merged);
    }
}
