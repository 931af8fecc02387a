package sagefall.proxy;

import sagefall.discovery.EndpointList;
import sagefall.discovery.EndpointListCodec;
import sagefall.leaderelection.SharedEndpointSnapshot;
import sagefall.persistence.SnapshotStore;

/**
 * Passes each endpoint list to the stores that persist it: this sidecar's own snapshot, and the
 * snapshot that the leader writes for all sidecars of the machine. Each of these two stores exists
 * only if an extension enables it. Used on the event loop only; no method waits for a disk.
 */
final class EndpointRecorder {

    private final EndpointListCodec codec;

    /** This sidecar's own store; null while persistence is off. */
    private SnapshotStore store;

    /** The shared snapshot; null while leader election is off. */
    private SharedEndpointSnapshot sharedSnapshot;

    EndpointRecorder(EndpointListCodec codec) {
        this.codec = codec;
    }

    /**
     * Sets this sidecar's own store, which receives the endpoint lists recorded after this call.
     */
    void recordTo(SnapshotStore newStore) {
        store = newStore;
    }

    /** Sets the shared snapshot, which receives the endpoint lists recorded after this call. */
    void recordTo(SharedEndpointSnapshot newSharedSnapshot) {
        sharedSnapshot = newSharedSnapshot;
    }

    /** Records an endpoint list. The list may be complete or contain only changes. */
    void record(EndpointList list) {
        if (store != null) {
            store.persist(codec.toSnapshotChange(list, store.wallMillis()));
        }
        if (sharedSnapshot != null) {
            sharedSnapshot.record(codec.toSnapshotChange(list, System.currentTimeMillis()));
        }
    }
}
