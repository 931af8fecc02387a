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

/**
 * Checks that a lease store grants no term twice after a power loss, and that a damaged file is
 * reported.
 */
@Timeout(300)
class DirectoryLeaseStoreTest {

    private static final long LEASE_NANOS = 20_000;
    private static final int SEEDS = 30;

    /** Upper bound on the number of storage calls that {@link #useTerm} makes. */
    private static final int MAX_STORAGE_CALLS = 30;

    private static final int BOOTS = 3;

    /**
     * In each run, the power is lost after N storage calls of the first boot and again after N
     * storage calls of the second boot. The runs cover each number N of calls that the use of a
     * term can make. The unforced writes that survive are chosen at random.
     */
    @Test
    void termGrantedBeforePowerLossIsNotGrantedAgain() throws IOException {
        for (int seed = 0; seed < SEEDS; seed++) {
            for (long lossAtCall = 0; lossAtCall < MAX_STORAGE_CALLS; lossAtCall++) {
                assertTermsIncreaseAfterPowerLoss(seed, lossAtCall);
            }
        }
    }

    private static void assertTermsIncreaseAfterPowerLoss(int seed, long lossAtCall)
            throws IOException {
        LossyStorage storage = new LossyStorage(lossAtCall, 31L * seed + lossAtCall);
        long granted = 0;
        for (int boot = 0; boot < BOOTS; boot++) {
            granted = useTerm(storage, boot, granted);
            long nextLossAtCall = boot == 0 ? lossAtCall : Long.MAX_VALUE;
            storage = storage.afterPowerLoss(nextLossAtCall, seed + lossAtCall);
        }
    }

    /**
     * Acquires a term and uses it. Returns the newest granted term, which is the previous term if
     * the power is lost before the grant.
     */
    private static long useTerm(LossyStorage storage, int boot, long previousTerm)
            throws IOException {
        DirectoryLeaseStore store = new DirectoryLeaseStore(storage, () -> 0, "boot" + boot, "w");
        String leader = "o" + boot;
        long granted = previousTerm;
        try {
            LeaseGrant grant = store.acquire(leader, LEASE_NANOS);
            assertEquals(leader, grant.leader(), "a grant from before the power loss has expired");
            assertTrue(
                    grant.term() > previousTerm, "term " + grant.term() + " after " + previousTerm);
            granted = grant.term();
            store.renew(leader, granted, LEASE_NANOS);
            assertTrue(store.publish(granted, "x", new byte[] {(byte) boot}));
            assertFalse(store.publish(granted - 1, "x", new byte[1]));
            assertEquals(boot, store.read("x").body()[0]);
            store.release(leader, granted);
        } catch (LossyStorage.PowerLoss e) {
            // It is unknown whether the operation that the power loss interrupted took effect.
        }
        return granted;
    }

    @Test
    void damagedTermIsReportedAsCorrupt(@TempDir Path directory) throws IOException {
        DirectoryLeaseStore store = new DirectoryLeaseStore(directory);
        store.acquire("n1", LEASE_NANOS);
        Path file = directory.resolve("term-1");
        byte[] bytes = Files.readAllBytes(file);
        bytes[bytes.length - 1] ^= 1;
        Files.write(file, bytes);
        StoredDataException error = assertThrows(StoredDataException.class, store::status);
        assertEquals(StoredDataException.Reason.CORRUPT, error.reason());
        assertEquals("term-1", error.file());
    }
}
