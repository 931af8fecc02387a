package sagefall.persistence;

import java.util.HashMap;
import java.util.Map;
import sagefall.balancer.api.EndpointPhase;

/** Creates changes for tests of a fleet of eight endpoints with the ids 1 to 8. */
final class SnapshotChanges {

    static final int FLEET_SIZE = 8;

    private SnapshotChanges() {}

    /**
     * Returns a complete list.
     *
     * @param draining ids of the draining endpoints; all others are ready
     */
    static SnapshotChange complete(long revision, int... draining) {
        Map<Long, SnapshotEntry> endpoints = new HashMap<>();
        for (int id = 1; id <= FLEET_SIZE; id++) {
            endpoints.put((long) id, entry(id, EndpointPhase.READY));
        }
        return change(true, revision, endpoints, draining);
    }

    /**
     * Returns a change that contains only draining endpoints.
     *
     * @param draining ids of the endpoints
     */
    static SnapshotChange draining(long revision, int... draining) {
        return change(false, revision, new HashMap<>(), draining);
    }

    private static SnapshotChange change(
            boolean complete, long revision, Map<Long, SnapshotEntry> endpoints, int... draining) {
        for (int id : draining) {
            endpoints.put((long) id, entry(id, EndpointPhase.DRAINING));
        }
        return new SnapshotChange(complete, revision, 1000 * revision, endpoints);
    }

    /** Returns an endpoint as discovery reports it. */
    static SnapshotEntry entry(long id, EndpointPhase phase) {
        return new SnapshotEntry(id, "127.0.0.1:" + (9000 + id), "a", "m", 0, phase, 10 * id, 1, 0);
    }
}
