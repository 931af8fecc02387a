package sagefall.persistence;

import sagefall.balancer.api.EndpointPhase;

/**
 * A server.
 *
 * @param address as text
 * @param zone and kind by name, since settings may number them anew
 * @param startMicros its process's start in Unix time, 0 if that is long ago
 * @param toldMillis when it was first told to drain or be gone; 0 while it is in service
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
        long toldMillis) {

    SnapshotEntry since(SnapshotEntry before, long now) {
        boolean leaves = phase != EndpointPhase.READY;
        boolean left =
                before != null
                        && before.phase != EndpointPhase.READY
                        && before.startMicros == startMicros;
        return new SnapshotEntry(
                id,
                address,
                zone,
                kind,
                cell,
                phase,
                startMicros,
                weight,
                !leaves ? 0 : left ? before.toldMillis : now);
    }

    SnapshotEntry gone() {
        return new SnapshotEntry(
                id,
                address,
                zone,
                kind,
                cell,
                EndpointPhase.REMOVED,
                startMicros,
                weight,
                toldMillis);
    }
}
