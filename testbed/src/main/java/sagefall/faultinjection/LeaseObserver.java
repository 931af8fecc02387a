package sagefall.faultinjection;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Objects;
import java.util.concurrent.locks.LockSupport;
import sagefall.leaderelection.DirectoryLeaseStore;
import sagefall.leaderelection.LeaseStore;
import sagefall.leaderelection.SharedEndpointSnapshot;

/**
 * Looks at who holds the duty of a play's sidecars, and at what counts of it, as any other process
 * could.
 */
final class LeaseObserver {

    private static final long LOOK_NANOS = 5_000_000;

    private final Path folder;
    private final LeaseStore store;

    LeaseObserver(Path folder) throws IOException {
        this.folder = folder;
        store = new DirectoryLeaseStore(folder);
    }

    Path folder() {
        return folder;
    }

    /** The place of whoever holds it; -1 for nobody. */
    int holder() throws IOException {
        var grant = store.status().grant();
        String owner = grant.owner();
        return grant.leftNanos() <= 0 || owner.isEmpty()
                ? -1
                : Integer.parseInt(owner.substring(1, owner.indexOf('#')));
    }

    /** Writes each change down until the thread is told to end. */
    void watch(EventHistory history) {
        String last = "";
        while (!Thread.currentThread().isInterrupted()) {
            try {
                LeaseStore.Status status = store.status();
                SharedEndpointSnapshot.Read digest = SharedEndpointSnapshot.read(store);
                long written = digest == null ? 0 : digest.term();
                long revision = digest == null ? 0 : digest.kept().revision();
                String now =
                        status.grant().term() + status.grant().owner() + written + "," + revision;
                if (!Objects.equals(now, last)) {
                    history.line(
                            "duty",
                            "term",
                            status.grant().term(),
                            "owner",
                            status.grant().owner(),
                            "written",
                            written,
                            "rev",
                            revision);
                }
                last = now;
            } catch (IOException e) {
                history.line("duty", "unread", String.valueOf(e.getMessage()));
            }
            LockSupport.parkNanos(LOOK_NANOS);
        }
    }
}
