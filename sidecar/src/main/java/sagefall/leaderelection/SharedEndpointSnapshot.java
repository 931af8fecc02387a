package sagefall.leaderelection;

import java.io.IOException;
import sagefall.persistence.EndpointSnapshot;
import sagefall.persistence.SnapshotChange;

/**
 * The duty of writing down, for all sidecars of a machine, what discovery told last: one that
 * starts with nothing kept of its own learns from it which servers to leave alone. It adds no
 * server, as another's list has another's addresses; and it never goes back to an older revision,
 * whoever holds the duty.
 */
public final class SharedEndpointSnapshot implements LeaderTask {

    private static final String FILE = "digest";
    private static final String OWNER = "digest";

    private EndpointSnapshot state = EndpointSnapshot.nothing(OWNER);
    private SnapshotChange pending;

    /** What it holds, and the term under which it was written. */
    public record Read(EndpointSnapshot kept, long term) {}

    /** Takes over what discovery told; never waits. */
    public synchronized void told(SnapshotChange change) {
        pending = pending == null ? change : pending.then(change);
    }

    @Override
    public String name() {
        return FILE;
    }

    @Override
    public synchronized boolean due() {
        return pending != null;
    }

    private synchronized EndpointSnapshot next() {
        if (pending != null) {
            state = state.with(pending);
            pending = null;
        }
        return state;
    }

    @Override
    public boolean act(LeaseStore store, long term) throws IOException {
        EndpointSnapshot next = next();
        Read before = read(store);
        return (before != null && before.kept.revision() > next.revision())
                || store.publish(term, FILE, next.bytes(term));
    }

    /** What was written last; null where there is none. */
    public static Read read(LeaseStore store) throws IOException {
        LeaseStore.Value value = store.read(FILE);
        return value == null
                ? null
                : new Read(
                        EndpointSnapshot.kept(EndpointSnapshot.values(value.body())), value.term());
    }
}
