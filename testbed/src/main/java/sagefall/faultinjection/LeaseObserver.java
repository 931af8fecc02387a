package sagefall.faultinjection;

import java.io.IOException;
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
 * Observes the lease of the sidecars of a run and the snapshot that they share, as any other
 * process could.
 */
final class LeaseObserver {

    private static final long POLL_NANOS = 5_000_000;

    /** No sidecar holds the lease. */
    static final int NOBODY = -1;

    /** What is recorded when it changes. */
    private record Observation(long term, String holder, long snapshotTerm, long revision) {}

    private final Path directory;
    private final LeaseStore store;

    LeaseObserver(Path directory) throws IOException {
        this.directory = directory;
        store = new DirectoryLeaseStore(directory);
    }

    Path directory() {
        return directory;
    }

    /** The index of the sidecar that holds the lease; {@link #NOBODY} if none does. */
    int holder() throws IOException {
        LeaseGrant grant = store.status().grant();
        String holder = grant.leader();
        if (grant.remainingNanos() <= 0 || holder.isEmpty()) {
            return NOBODY;
        }
        // Instances are called n0, n1, ...; the lease adds # and a number for each start.
        return Integer.parseInt(holder.substring(1, holder.indexOf('#')));
    }

    /** Records each change until the thread is interrupted. */
    void watch(HistoryWriter history) {
        Observation previous = null;
        while (!Thread.currentThread().isInterrupted()) {
            try {
                Observation now = observe();
                if (!now.equals(previous)) {
                    record(history, now);
                }
                previous = now;
            } catch (IOException e) {
                history.write(EntryKind.LEASE, "unread", String.valueOf(e.getMessage()));
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

    private static void record(HistoryWriter history, Observation now) {
        history.write(
                EntryKind.LEASE,
                "term",
                now.term,
                "owner",
                now.holder,
                "written",
                now.snapshotTerm,
                "rev",
                now.revision);
    }
}
