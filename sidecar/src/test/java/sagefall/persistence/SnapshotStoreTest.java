package sagefall.persistence;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import sagefall.balancer.api.EndpointPhase;

/**
 * Checks that {@link SnapshotStore} persists changes after the disk was slow, full or missing, that
 * a locked directory is not used, and that a snapshot is not fresh if its age is negative or above
 * the maximum.
 */
@Timeout(120)
class SnapshotStoreTest {

    private static final int MAX_BYTES = 64 * 1024;
    private static final long MAX_AGE_MILLIS = 60_000;
    private static final long TIMEOUT_MILLIS = 60_000;
    private static final String SIDECAR = "n1";

    @TempDir private Path parent;
    private final BlockingQueue<String> logLines = new LinkedBlockingQueue<>();
    private final LossyStorage storage = new LossyStorage(Long.MAX_VALUE, 1);

    private PersistenceSettings settings(long clockOffsetMillis) {
        return new PersistenceSettings(
                directory(), MAX_BYTES, MAX_AGE_MILLIS, true, clockOffsetMillis);
    }

    private Path directory() {
        return parent.resolve("data");
    }

    private SnapshotStore open(SnapshotStore.StorageOpener opener) {
        return new SnapshotStore(settings(0), SIDECAR, logLines::add, opener);
    }

    private SnapshotStore openDirectory() {
        return new SnapshotStore(settings(0), SIDECAR, logLines::add);
    }

    private String nextLine() throws InterruptedException {
        return logLines.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static EndpointSnapshot read(Storage from) throws IOException {
        return WriteAheadLog.open(from, SIDECAR, MAX_BYTES, true, line -> {}).state();
    }

    /** Waits for the latch and returns the storage. Simulates a disk that responds late. */
    private Storage openAfter(CountDownLatch opened) throws IOException {
        try {
            opened.await();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
        return storage;
    }

    /** The host must not wait for a disk that does not respond. The pending changes are merged. */
    @Test
    void changesAreMergedWhileTheDiskDoesNotRespond() throws Exception {
        CountDownLatch opened = new CountDownLatch(1);
        try (SnapshotStore store = open(() -> openAfter(opened))) {
            assertNull(store.awaitRecovered(1));
            assertEquals(
                    "ERROR persistence_unavailable reason=timeout timeout_ms=1", logLines.take());
            store.persist(SnapshotChanges.complete(5));
            store.persist(SnapshotChanges.draining(6, 3));
            store.persist(SnapshotChanges.draining(7, 4));
            opened.countDown();
        }
        EndpointSnapshot snapshot = read(storage);
        assertEquals(7, snapshot.revision());
        assertEquals(EndpointPhase.DRAINING, snapshot.endpoints().get(3L).phase());
        assertEquals(EndpointPhase.DRAINING, snapshot.endpoints().get(4L).phase());
    }

    @Test
    void fullDiskIsLoggedOnceAndWritingResumesOnceThereIsSpace() throws Exception {
        try (SnapshotStore store = open(() -> storage)) {
            assertEquals(1, store.awaitRecovered(TIMEOUT_MILLIS).epoch());
            storage.freeBytes = 10;
            store.persist(SnapshotChanges.complete(5));
            assertEquals(
                    "WARN persistence_write_failed reason=full"
                            + " error=\"log-1: No space left on device\"",
                    nextLine());
            storage.freeBytes = Long.MAX_VALUE;
            store.persist(SnapshotChanges.draining(6, 3));
            assertEquals("INFO persistence_resumed", nextLine());
        }
        assertTrue(logLines.isEmpty(), logLines::toString);
        assertEquals(6, read(storage).revision());
    }

    /** Moves the directory away while its files are open. */
    @Test
    void missingDirectoryIsLoggedOnceAndWritingResumesOnceItIsRestored() throws Exception {
        try (SnapshotStore store = openDirectory()) {
            assertEquals(1, store.awaitRecovered(TIMEOUT_MILLIS).epoch());
            store.persist(SnapshotChanges.complete(5));
            while (!Files.exists(directory().resolve("log-1"))) {
                Thread.onSpinWait();
            }
            Files.move(directory(), parent.resolve("away"));
            store.persist(SnapshotChanges.draining(6, 3));
            String failed = nextLine();
            assertTrue(
                    failed.startsWith("WARN persistence_write_failed reason=io_error error="),
                    failed);
            Files.createDirectory(directory());
            assertEquals("INFO persistence_resumed", nextLine());
        }
        assertEquals(6, read(DirectoryStorage.openExclusive(directory())).revision());
    }

    @Test
    void onlyOneOfTwoStoresCanUseADirectory() throws Exception {
        try (SnapshotStore first = openDirectory();
                SnapshotStore second = openDirectory()) {
            EndpointSnapshot recoveredFirst = first.awaitRecovered(TIMEOUT_MILLIS);
            EndpointSnapshot recoveredSecond = second.awaitRecovered(TIMEOUT_MILLIS);
            assertTrue(recoveredFirst == null ^ recoveredSecond == null);
            assertEquals(
                    "ERROR persistence_unavailable reason=locked error=\""
                            + directory()
                            + " is in use by another process\"",
                    logLines.take());
        }
    }

    @ParameterizedTest
    @CsvSource({"0, true", "-120000, false", "120000, false"})
    void snapshotIsNotFreshIfItsAgeIsNegativeOrAboveMaximum(long clockOffsetMillis, boolean fresh)
            throws Exception {
        SnapshotChange change =
                new SnapshotChange(true, 5, System.currentTimeMillis() - 1000, Map.of());
        EndpointSnapshot snapshot = EndpointSnapshot.empty(SIDECAR).with(change);
        try (SnapshotStore store =
                new SnapshotStore(settings(clockOffsetMillis), SIDECAR, line -> {})) {
            assertEquals(fresh, store.isFresh(snapshot));
        }
    }
}
