package sagefall.faultinjection;

import java.io.IOException;
import java.nio.channels.ClosedByInterruptException;
import java.nio.file.Path;
import java.util.concurrent.locks.LockSupport;
import sagefall.faultinjection.history.EntryKind;
import sagefall.faultinjection.history.HistoryWriter;
import sagefall.leaderelection.DirectoryLeaseStore;
import sagefall.leaderelection.LeaseGrant;
import sagefall.leaderelection.LeaseStore;
import sagefall.leaderelection.PublishedSnapshot;
import sagefall.leaderelection.SharedEndpointSnapshot;

/**
 * Observes the leader election and the shared snapshot of the sidecars of a run. Reads both from
 * the lease store of the sidecars, which any process may read.
 */
final class LeaseObserver {

    private static final long POLL_NANOS = 5_000_000;

    /** Result of {@link #leader} if no sidecar is the leader. */
    static final int NO_LEADER = -1;

    /** State of the lease and of the shared snapshot at one point in time. */
    private record Observation(long term, String owner, long snapshotTerm, long revision) {}

    private final Path directory;
    private final LeaseStore store;

    LeaseObserver(Path directory) throws IOException {
        this(directory, new DirectoryLeaseStore(directory));
    }

    /** Creates an observer of the given store, which has its files in the given directory. */
    LeaseObserver(Path directory, LeaseStore store) {
        this.directory = directory;
        this.store = store;
    }

    Path directory() {
        return directory;
    }

    /**
     * Returns the index of the sidecar that is the leader. Returns {@link #NO_LEADER} if no lease
     * is valid.
     */
    int leader() throws IOException {
        LeaseGrant grant = store.status().grant();
        String owner = grant.leader();
        if (grant.remainingNanos() <= 0 || owner.isEmpty()) {
            return NO_LEADER;
        }
        // The owner in the lease has the form NAME#PID#TIME. The names of the sidecars are n0, n1,
        // ...
        return Integer.parseInt(owner.substring(1, owner.indexOf('#')));
    }

    /** Records each change of the observed state until the thread is interrupted. */
    void watch(HistoryWriter history) {
        Observation previous = null;
        while (!Thread.currentThread().isInterrupted()) {
            try {
                Observation current = observe();
                if (!current.equals(previous)) {
                    record(history, current);
                }
                previous = current;
            } catch (ClosedByInterruptException e) {
                // The interrupt that ends the watch has closed the file that was being read.
                return;
            } catch (IOException e) {
                history.write(EntryKind.LEASE, "unread", e.toString());
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    private Observation observe() throws IOException {
        LeaseGrant grant = store.status().grant();
        PublishedSnapshot snapshot = SharedEndpointSnapshot.read(store);
        long snapshotTerm = snapshot == null ? 0 : snapshot.term();
        long revision = snapshot == null ? 0 : snapshot.snapshot().revision();
        return new Observation(grant.term(), grant.leader(), snapshotTerm, revision);
    }

    private static void record(HistoryWriter history, Observation current) {
        history.write(
                EntryKind.LEASE,
                "term",
                current.term,
                "owner",
                current.owner,
                "written",
                current.snapshotTerm,
                "rev",
                current.revision);
    }
}
