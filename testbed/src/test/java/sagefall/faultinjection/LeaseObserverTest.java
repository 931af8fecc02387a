package sagefall.faultinjection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sagefall.faultinjection.history.HistoryWriter;
import sagefall.leaderelection.DirectoryLeaseStore;
import sagefall.leaderelection.FencedValue;
import sagefall.leaderelection.LeaseGrant;
import sagefall.leaderelection.LeaseStatus;
import sagefall.leaderelection.LeaseStore;

/** Tests which observations of a lease store get into the history of a run. */
class LeaseObserverTest {

    private static final long LEASE_NANOS = 1_000_000_000;

    @TempDir Path folder;
    private DirectoryLeaseStore files;

    @BeforeEach
    void grantLease() throws IOException {
        files = new DirectoryLeaseStore(folder.resolve("shared"));
        files.acquire("n0#1#1", LEASE_NANOS);
    }

    /**
     * Guards against a run that counts as violated because it ended while the lease was being read:
     * the interrupt of the end closed the file, which was recorded as a lease that can't be read.
     */
    @Test
    void interruptDuringReadIsNotRecordedAsUnreadableLease() throws Exception {
        assertEquals(List.of(), watch(new InterruptedReads(files)));
    }

    /** The entry names the error even if the error has no message. */
    @Test
    void failedReadIsRecordedWithItsError() throws Exception {
        List<String> entries = watch(new FailedReads(files));
        assertEquals(1, entries.size());
        assertTrue(entries.get(0).contains("\"unread\":\"java.io.IOException\""), entries.get(0));
    }

    private List<String> watch(LeaseStore store) throws Exception {
        Path file = folder.resolve("history");
        try (HistoryWriter history = new HistoryWriter(file)) {
            LeaseObserver observer = new LeaseObserver(folder.resolve("shared"), store);
            Thread watcher = new Thread(() -> observer.watch(history));
            watcher.start();
            watcher.join();
        }
        return Files.readAllLines(file);
    }

    /** A store whose files are read by a thread that has been interrupted. */
    private static final class InterruptedReads extends DelegatingStore {
        InterruptedReads(LeaseStore files) {
            super(files);
        }

        @Override
        public LeaseStatus status() throws IOException {
            Thread.currentThread().interrupt();
            return super.status();
        }
    }

    /** A store that can't be read; its first read also ends the watch. */
    private static final class FailedReads extends DelegatingStore {
        FailedReads(LeaseStore files) {
            super(files);
        }

        @Override
        public LeaseStatus status() throws IOException {
            Thread.currentThread().interrupt();
            throw new IOException();
        }
    }

    /** Passes all calls on to another store. */
    private static class DelegatingStore implements LeaseStore {
        private final LeaseStore files;

        DelegatingStore(LeaseStore files) {
            this.files = files;
        }

        @Override
        public LeaseStatus status() throws IOException {
            return files.status();
        }

        @Override
        public LeaseGrant acquire(String candidate, long leaseNanos) throws IOException {
            return files.acquire(candidate, leaseNanos);
        }

        @Override
        public LeaseGrant renew(String leader, long term, long leaseNanos) throws IOException {
            return files.renew(leader, term, leaseNanos);
        }

        @Override
        public void release(String leader, long term) throws IOException {
            files.release(leader, term);
        }

        @Override
        public boolean publish(long term, String name, byte[] body) throws IOException {
            return files.publish(term, name, body);
        }

        @Override
        public FencedValue read(String name) throws IOException {
            return files.read(name);
        }
    }
}
