package sagefall.persistence;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;
import sagefall.balancer.api.EndpointPhase;

/**
 * Checks that a snapshot keeps draining endpoints and a bounded number of removed endpoints, each
 * with the time at which it was first reported as not ready.
 */
class EndpointSnapshotTest {

    private final EndpointSnapshot oneDraining =
            EndpointSnapshot.empty("n1")
                    .with(SnapshotChanges.complete(5))
                    .with(SnapshotChanges.draining(6, 3));

    @Test
    void drainingEndpointHasTheTimeOfItsReport() {
        assertEquals(6000, oneDraining.endpoints().get(3L).notReadySinceMillis());
    }

    @Test
    void endpointsMissingFromCompleteListBecomeRemovedAndKeepTheirDrainingTime() {
        SnapshotEntry ready = SnapshotChanges.entry(1, EndpointPhase.READY);
        EndpointSnapshot snapshot =
                oneDraining.with(new SnapshotChange(true, 9, 9000, Map.of(1L, ready)));
        assertEquals(EndpointPhase.REMOVED, snapshot.endpoints().get(3L).phase());
        assertEquals(6000, snapshot.endpoints().get(3L).notReadySinceMillis());
        assertEquals(9000, snapshot.endpoints().get(2L).notReadySinceMillis());
        assertEquals(EndpointPhase.READY, snapshot.endpoints().get(1L).phase());
    }

    @Test
    void oldestRemovedEndpointsAreDroppedAboveTheMaximum() {
        SnapshotEntry ready = SnapshotChanges.entry(1, EndpointPhase.READY);
        EndpointSnapshot snapshot =
                oneDraining.with(new SnapshotChange(true, 9, 9000, Map.of(1L, ready)));
        for (int i = 0; i < 3000; i++) {
            long id = 100L + i;
            SnapshotEntry removed = SnapshotChanges.entry(id, EndpointPhase.REMOVED);
            snapshot =
                    snapshot.with(
                            new SnapshotChange(false, 10 + i, 10_000 + i, Map.of(id, removed)));
        }
        // The snapshot also contains the one ready endpoint.
        assertEquals(EndpointSnapshot.MAX_REMOVED + 1, snapshot.endpoints().size());
        assertTrue(snapshot.endpoints().containsKey(3099L));
    }
}
