package sagefall.proxy;

import sagefall.discovery.EndpointList;
import sagefall.discovery.EndpointListCodec;
import sagefall.leaderelection.SharedEndpointSnapshot;
import sagefall.persistence.SnapshotStore;

/**
 * Hands each endpoint list to those that persist it: this sidecar's own snapshot and the one that
 * the leader writes for all sidecars of the machine. Neither is there unless the extensions ask for
 * it. Used on the event loop only; nothing here waits for a disk.
 */
final class EndpointRecorder {

    private final EndpointListCodec lists;

    /** Null while persistence is off. */
    private SnapshotStore store;

    /** Null while leader election is off. */
    private SharedEndpointSnapshot sharedSnapshot;

    EndpointRecorder(EndpointListCodec lists) {
        this.lists = lists;
    }

    /** From now on lists go to this store too. */
    void recordTo(SnapshotStore newStore) {
        store = newStore;
    }

    /** From now on lists go to this snapshot too. */
    void recordTo(SharedEndpointSnapshot newSharedSnapshot) {
        sharedSnapshot = newSharedSnapshot;
    }

    /** Records a list, complete or of changes. */
    void record(EndpointList list) {
        if (store != null) {
            store.persist(lists.toSnapshotChange(list, store.wallMillis()));
        }
        if (sharedSnapshot != null) {
            sharedSnapshot.record(lists.toSnapshotChange(list, System.currentTimeMillis()));
        }
    }
}
