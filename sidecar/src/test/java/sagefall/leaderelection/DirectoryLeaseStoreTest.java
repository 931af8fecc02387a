package sagefall.leaderelection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import sagefall.persistence.LossyStorage;
import sagefall.persistence.StoredDataException;

/** The lease's files over power losses, and when one is damaged. */
@Timeout(300)
class DirectoryLeaseStoreTest {

    private static final long LEASE = 20_000;
    private static final int SEEDS = 30;

    /** More calls than the use of one term makes. */
    private static final int CALLS = 30;

    private static final int BOOTS = 3;

    /** The power goes at every call of a term, with random outcomes: no term is granted twice. */
    @Test
    void noTermIsGrantedTwiceOverAPowerLoss() throws IOException {
        for (int seed = 0; seed < SEEDS; seed++) {
            for (long lossAt = 0; lossAt < CALLS; lossAt++) {
                losePower(seed, lossAt);
            }
        }
    }

    private static void losePower(int seed, long lossAt) throws IOException {
        LossyStorage storage = new LossyStorage(lossAt, 31L * seed + lossAt);
        long granted = 0;
        for (int boot = 0; boot < BOOTS; boot++) {
            granted = useTerm(storage, boot, granted);
            long nextLossAt = boot == 0 ? lossAt : Long.MAX_VALUE;
            storage = storage.afterPowerLoss(nextLossAt, seed + lossAt);
        }
    }

    /** Acquires a term after that one and uses it; returns the newest term that was granted. */
    private static long useTerm(LossyStorage storage, int boot, long before) throws IOException {
        DirectoryLeaseStore store = new DirectoryLeaseStore(storage, () -> 0, "boot" + boot, "w");
        String owner = "o" + boot;
        long granted = before;
        try {
            LeaseGrant grant = store.acquire(owner, LEASE);
            assertEquals(owner, grant.owner(), "a grant of before the loss has expired");
            assertTrue(grant.term() > before, "term " + grant.term() + " after " + before);
            granted = grant.term();
            store.renew(owner, granted, LEASE);
            assertTrue(store.publish(granted, "x", new byte[] {(byte) boot}));
            assertFalse(store.publish(granted - 1, "x", new byte[1]));
            assertEquals(boot, store.read("x").body()[0]);
            store.release(owner, granted);
        } catch (LossyStorage.PowerLoss e) {
            // What was asked last may have been done or not.
        }
        return granted;
    }

    @Test
    void damagedTermIsReportedAsCorrupt(@TempDir Path directory) throws IOException {
        DirectoryLeaseStore store = new DirectoryLeaseStore(directory);
        store.acquire("n1", LEASE);
        Path file = directory.resolve("term-1");
        byte[] bytes = Files.readAllBytes(file);
        bytes[bytes.length - 1] ^= 1;
        Files.write(file, bytes);
        StoredDataException error = assertThrows(StoredDataException.class, store::status);
        assertEquals(StoredDataException.Reason.CORRUPT, error.reason());
        assertEquals("term-1", error.file());
    }
}
