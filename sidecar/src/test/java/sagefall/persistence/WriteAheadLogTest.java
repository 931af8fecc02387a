package sagefall.persistence;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks the recovery from torn and corrupt files, and the bound on the length of the files. */
@Timeout(120)
class WriteAheadLogTest {

    private static final long NEVER = Long.MAX_VALUE;

    private static final int MAX_BYTES = 64 * 1024;
    private static final String SIDECAR = "n1";

    private final List<String> logLines = new ArrayList<>();

    private WriteAheadLog open(Storage storage) throws IOException {
        return WriteAheadLog.open(storage, SIDECAR, MAX_BYTES, true, logLines::add);
    }

    private EndpointSnapshot reopen(LossyStorage storage) throws IOException {
        logLines.clear();
        return open(storage).state();
    }

    /**
     * Returns a storage that contains a snapshot of epoch 1 and a log with the revisions 5 to 7.
     */
    private LossyStorage writtenStorage() throws IOException {
        LossyStorage storage = new LossyStorage(NEVER, 1);
        WriteAheadLog log = open(storage);
        log.append(SnapshotChanges.complete(5));
        log.append(SnapshotChanges.draining(6, 3));
        log.append(SnapshotChanges.draining(7, 4));
        return storage;
    }

    @Test
    void tornLastRecordIsDiscarded() throws IOException {
        LossyStorage storage = writtenStorage();
        int lastByte = storage.get("log-1").length - 1;
        changeByte(storage, "log-1", lastByte, 'x');
        EndpointSnapshot recovered = reopen(storage);
        assertEquals(6, recovered.revision());
        assertEquals(1, logLines.size(), logLines::toString);
        assertTrue(
                logLines.get(0).startsWith("WARN log_tail_discarded bytes="), logLines::toString);
        assertFalse(hasFilesSetAside(storage));
        assertEquals(2, recovered.epoch());
        assertEquals(3, reopen(storage).epoch());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                // file | offset | replacement | reason | error
                "log-1 | 60 | x | corrupt | log-1 is damaged at byte 8",
                "log-1 | 7 | 2 | newer_format | log-1 has format version 2, expected 1",
                "log-1 | 0 | x | corrupt | log-1 is damaged",
                "state | 7 | 2 | newer_format | state has format version 2, expected 1",
                "state | 30 | x | corrupt | state is damaged",
                "state | 0 | x | corrupt | state is damaged",
            })
    void unusableFilesAreSetAside(
            String file, int offset, char replacement, String reason, String error)
            throws IOException {
        LossyStorage storage = writtenStorage();
        changeByte(storage, file, offset, replacement);
        EndpointSnapshot recovered = reopen(storage);
        assertEquals(0, recovered.revision());
        assertEquals(List.of(setAsideLine(file, reason, error)), logLines);
        assertTrue(hasFilesSetAside(storage));
        // The snapshot file contains the epoch, so the epoch is lost only if the snapshot is
        // unusable.
        assertEquals(file.equals("state") ? 1 : 2, recovered.epoch());
        assertEquals(recovered.epoch() + 1, reopen(storage).epoch());
    }

    /**
     * Changes one byte. If the replacement is a digit, the byte is set to the value of the digit;
     * otherwise one bit of the byte is flipped.
     */
    private static void changeByte(
            LossyStorage storage, String file, int offset, char replacement) {
        byte[] bytes = storage.get(file);
        boolean isDigit = Character.isDigit(replacement);
        bytes[offset] = (byte) (isDigit ? replacement - '0' : bytes[offset] ^ 0x40);
        storage.put(file, bytes);
    }

    private static String setAsideLine(String file, String reason, String error) {
        return "WARN snapshot_set_aside file="
                + file
                + " reason="
                + reason
                + " error=\""
                + error
                + "\"";
    }

    private static boolean hasFilesSetAside(LossyStorage storage) {
        return storage.list().stream()
                .anyMatch(file -> file.startsWith(WriteAheadLog.SET_ASIDE_PREFIX));
    }

    @Test
    void filesOfAnotherSidecarAreSetAside() throws IOException {
        LossyStorage storage = writtenStorage();
        WriteAheadLog log = WriteAheadLog.open(storage, "n2", MAX_BYTES, true, logLines::add);
        assertEquals(0, log.state().revision());
        assertEquals(
                List.of(setAsideLine("state", "foreign", "state belongs to the sidecar 'n1'")),
                logLines);
        // The epochs of sidecar n2 start at 1. They do not continue the stored epochs of sidecar
        // n1.
        assertEquals(1, log.state().epoch());
    }

    @Test
    void fileLongerThanMaxBytesIsSetAside() throws IOException {
        LossyStorage storage = writtenStorage();
        storage.put("state", new byte[MAX_BYTES + 1]);
        assertEquals(0, reopen(storage).revision());
        assertEquals(
                List.of(
                        setAsideLine(
                                "state",
                                "too_large",
                                "state holds 65537 bytes, more than the maximum of 65536")),
                logLines);
    }

    /** The reader must handle any corruption in bounded time and must not accept corrupt data. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void randomCorruptionIsNeverReadAsData(long seed) throws IOException {
        SplittableRandom random = new SplittableRandom(seed);
        LossyStorage intact = writtenStorage();
        for (int i = 0; i < 3000; i++) {
            LossyStorage storage = new LossyStorage(NEVER, 1);
            for (String file : intact.list()) {
                storage.put(file, corrupted(intact.get(file), random));
            }
            EndpointSnapshot recovered = reopen(storage);
            assertTrue(List.of(0L, 5L, 6L, 7L).contains(recovered.revision()));
            int expectedSize = recovered.revision() == 0 ? 0 : SnapshotChanges.FLEET_SIZE;
            assertEquals(expectedSize, recovered.endpoints().size());
        }
    }

    /** Changes up to three bytes. On average, truncates or zero-extends one file in eight. */
    private static byte[] corrupted(byte[] bytes, SplittableRandom random) {
        for (int changes = random.nextInt(4); changes > 0; changes--) {
            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
        }
        boolean isResized = random.nextInt(8) == 0;
        return isResized ? Arrays.copyOf(bytes, random.nextInt(bytes.length + 40)) : bytes;
    }

    @Test
    void snapshotReplacesLogBeforeFilesExceedMaxBytes() throws IOException {
        LossyStorage storage = new LossyStorage(NEVER, 1);
        WriteAheadLog log = open(storage);
        for (int i = 1; i < 2000; i++) {
            log.append(SnapshotChanges.draining(i, 1 + i % SnapshotChanges.FLEET_SIZE));
            int totalBytes =
                    storage.list().stream().mapToInt(file -> storage.get(file).length).sum();
            assertTrue(totalBytes < MAX_BYTES);
        }
        assertEquals(1999, reopen(storage).revision());
    }
}
