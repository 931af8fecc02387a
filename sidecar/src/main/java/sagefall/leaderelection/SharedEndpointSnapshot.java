package sagefall.leaderelection;

import java.io.IOException;
import sagefall.persistence.EndpointSnapshot;
import sagefall.persistence.EndpointSnapshotCodec;
import sagefall.persistence.SnapshotChange;

/**
 * Publishes the endpoints that discovery reported last, for all sidecars of a machine. Only the
 * leader publishes. A sidecar that starts without a snapshot of its own uses the published snapshot
 * to exclude draining and removed endpoints from endpoint lists with a lower revision. The sidecar
 * takes no additional endpoints from the published snapshot, because the addresses of endpoints
 * differ between the endpoint lists of different sidecars. The published revision never decreases,
 * even when the leader changes.
 *
 * <p>The event loop passes {@code pending} to the thread of {@link LeaderElector} under this
 * object's monitor; {@code snapshot} is confined to that thread.
 */
public final class SharedEndpointSnapshot implements LeaderTask {

    /**
     * Name of the task in log lines, of the published value in the lease store, and of the
     * snapshot.
     */
    private static final String SNAPSHOT_NAME = "digest";

    private EndpointSnapshot snapshot = EndpointSnapshot.empty(SNAPSHOT_NAME);

    /** Changes that are not published yet; null if there are none. */
    private SnapshotChange pending;

    /** Records a change that discovery reported. Does no I/O. */
    public synchronized void record(SnapshotChange change) {
        pending = SnapshotChange.merge(pending, change);
    }

    @Override
    public String name() {
        return SNAPSHOT_NAME;
    }

    @Override
    public synchronized boolean isDue() {
        return pending != null;
    }

    /** Applies the pending changes to the snapshot, clears them, and returns the snapshot. */
    private synchronized EndpointSnapshot applyPending() {
        if (pending != null) {
            snapshot = snapshot.with(pending);
            pending = null;
        }
        return snapshot;
    }

    @Override
    public boolean run(LeaseStore store, long term) throws IOException {
        EndpointSnapshot next = applyPending();
        PublishedSnapshot stored = read(store);
        if (stored != null && stored.snapshot().revision() > next.revision()) {
            return true;
        }
        return store.publish(term, SNAPSHOT_NAME, EndpointSnapshotCodec.encode(next, term));
    }

    /** Returns the snapshot that was published last, or null if there is none. */
    public static PublishedSnapshot read(LeaseStore store) throws IOException {
        FencedValue value = store.read(SNAPSHOT_NAME);
        if (value == null) {
            return null;
        }
        return new PublishedSnapshot(
                EndpointSnapshotCodec.decode(SNAPSHOT_NAME, value.body()), value.term());
    }
}
