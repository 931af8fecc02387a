package sagefall.persistence;

import sagefall.balancer.api.EndpointPhase;

/**
 * One endpoint of a snapshot.
 *
 * @param id of the endpoint, stable over restarts of the sidecar
 * @param address as text
 * @param zone by name, since other settings may give it another number
 * @param kind by name, for the same reason
 * @param cell number of the endpoint's cell
 * @param phase as last reported
 * @param startMicros start of its process in Unix time, 0 if that is long ago
 * @param weight capacity relative to other endpoints
 * @param leavingSinceMillis when it was first reported as draining or removed, in Unix time; 0
 *     while it is ready
 */
public record SnapshotEntry(
        long id,
        String address,
        String zone,
        String kind,
        int cell,
        EndpointPhase phase,
        long startMicros,
        double weight,
        long leavingSinceMillis) {

    /**
     * This entry with the time since when it leaves: that of the entry before, if it is the same
     * process and was leaving already, else the time of this report.
     *
     * @param before null if the endpoint is new
     */
    SnapshotEntry reportedAfter(SnapshotEntry before, long nowMillis) {
        return with(phase, leavingSince(before, nowMillis));
    }

    private long leavingSince(SnapshotEntry before, long nowMillis) {
        if (phase == EndpointPhase.READY) {
            return 0;
        }
        boolean sameProcess = before != null && before.startMicros == startMicros;
        if (sameProcess && before.phase != EndpointPhase.READY) {
            return before.leavingSinceMillis;
        }
        return nowMillis;
    }

    /** This entry as one that a complete list no longer has. */
    SnapshotEntry removed(long nowMillis) {
        return with(EndpointPhase.REMOVED, leavingSinceMillis).reportedAfter(this, nowMillis);
    }

    private SnapshotEntry with(EndpointPhase newPhase, long newLeavingSinceMillis) {
        return new SnapshotEntry(
                id,
                address,
                zone,
                kind,
                cell,
                newPhase,
                startMicros,
                weight,
                newLeavingSinceMillis);
    }
}
