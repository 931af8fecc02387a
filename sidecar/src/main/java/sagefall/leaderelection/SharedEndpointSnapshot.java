package sagefall.leaderelection;

import java.io.IOException;
import sagefall.persistence.EndpointSnapshot;
import sagefall.persistence.EndpointSnapshotCodec;
import sagefall.persistence.SnapshotChange;

/**
 * The leader's task of writing down, for all sidecars of a machine, what discovery reported last: a
 * sidecar that starts without a snapshot of its own learns from it which endpoints not to use. It
 * adds no endpoint, as another sidecar's list has another's addresses; and it never goes back to an
 * older revision, whoever is leader.
 *
 * <p>{@code pending} is handed from the event loop to the thread of {@link LeaderElector} under
 * this object's monitor; {@code state} belongs to that thread.
 */
public final class SharedEndpointSnapshot implements LeaderTask {

    /** Name of the value, of the task in the log, and of the snapshot in the stored data. */
    private static final String DIGEST = "digest";

    private EndpointSnapshot state = EndpointSnapshot.empty(DIGEST);

    /** What is still to be written; null if nothing is. */
    private SnapshotChange pending;

    /** Takes over what discovery reported; never waits for a disk. */
    public synchronized void record(SnapshotChange change) {
        pending = SnapshotChange.merge(pending, change);
    }

    @Override
    public String name() {
        return DIGEST;
    }

    @Override
    public synchronized boolean isDue() {
        return pending != null;
    }

    private synchronized EndpointSnapshot applyPending() {
        if (pending != null) {
            state = state.with(pending);
            pending = null;
        }
        return state;
    }

    @Override
    public boolean run(LeaseStore store, long term) throws IOException {
        EndpointSnapshot next = applyPending();
        PublishedSnapshot stored = read(store);
        if (stored != null && stored.snapshot().revision() > next.revision()) {
            return true;
        }
        return store.publish(term, DIGEST, EndpointSnapshotCodec.encode(next, term));
    }

    /** What was written last; null where there is none. */
    public static PublishedSnapshot read(LeaseStore store) throws IOException {
        FencedValue value = store.read(DIGEST);
        if (value == null) {
            return null;
        }
        return new PublishedSnapshot(
                EndpointSnapshotCodec.decode(DIGEST, value.body()), value.term());
    }
}
