package sagefall.persistence;

import sagefall.balancer.api.EndpointPhase;

/**
 * An endpoint of a snapshot.
 *
 * @param id id of the endpoint, stable across restarts of the sidecar
 * @param address socket address as text
 * @param zone name of the zone; zone numbers are not stored because they depend on the settings
 * @param model name of the model; model numbers are not stored because they depend on the settings
 * @param cell number of the endpoint's cell
 * @param phase phase that was last reported
 * @param startMicros Unix time at which the endpoint's process started, in microseconds; 0 if the
 *     process started long ago
 * @param weight capacity relative to other endpoints
 * @param notReadySinceMillis Unix time at which the endpoint was first reported as draining or
 *     removed, in milliseconds; 0 while the endpoint is ready
 */
public record SnapshotEntry(
        long id,
        String address,
        String zone,
        String model,
        int cell,
        EndpointPhase phase,
        long startMicros,
        double weight,
        long notReadySinceMillis) {

    /**
     * Returns this entry with {@code notReadySinceMillis} set. The value is 0 if the endpoint is
     * ready. If the previous entry has an equal start time and was draining or removed, the result
     * keeps the previous entry's value. Otherwise the value is the time of this report.
     *
     * @param previous the previous entry of the endpoint; null if the endpoint is new
     * @param nowMillis Unix time of this report, in milliseconds
     */
    SnapshotEntry withNotReadySince(SnapshotEntry previous, long nowMillis) {
        return with(phase, computeNotReadySince(previous, nowMillis));
    }

    private long computeNotReadySince(SnapshotEntry previous, long nowMillis) {
        if (phase == EndpointPhase.READY) {
            return 0;
        }
        boolean sameProcess = previous != null && previous.startMicros == startMicros;
        if (sameProcess && previous.phase != EndpointPhase.READY) {
            return previous.notReadySinceMillis;
        }
        return nowMillis;
    }

    /**
     * Returns this entry with the phase set to removed. Used if a complete list no longer contains
     * the endpoint.
     */
    SnapshotEntry asRemoved(long nowMillis) {
        return with(EndpointPhase.REMOVED, notReadySinceMillis).withNotReadySince(this, nowMillis);
    }

    private SnapshotEntry with(EndpointPhase newPhase, long newNotReadySinceMillis) {
        return new SnapshotEntry(
                id,
                address,
                zone,
                model,
                cell,
                newPhase,
                startMicros,
                weight,
                newNotReadySinceMillis);
    }
}
