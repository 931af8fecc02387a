package sagefall.persistence;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sagefall.balancer.api.EndpointPhase;

/**
 * Checks that this build can read directories that the build of commit 732727c wrote for the
 * section {@code recovery}, and that this build writes identical bytes. The README beside the
 * stored data describes how the directories were created.
 */
class StoredDataCompatibilityTest {

    private static final String RESOURCES = "/stored-data/recovery/";
    private static final String SIDECAR = "n1";
    private static final int MAX_BYTES = 64 * 1024;
    private static final String SNAPSHOT = "state";
    private static final String LOG = "log-2";
    private static final long GENERATION = 2;

    private static final SnapshotEntry DRAINING_3 =
            new SnapshotEntry(
                    3,
                    "10.0.1.3:8080",
                    "b",
                    "large",
                    0,
                    EndpointPhase.DRAINING,
                    1_699_000_000_000_003L,
                    1,
                    1_700_000_006_000L);
    private static final SnapshotEntry REMOVED_3 =
            new SnapshotEntry(
                    3,
                    "10.0.1.3:8080",
                    "b",
                    "large",
                    0,
                    EndpointPhase.REMOVED,
                    1_699_000_000_000_003L,
                    1,
                    1_700_000_006_000L);
    private static final SnapshotEntry READY_1 =
            new SnapshotEntry(
                    1,
                    "10.0.0.1:8080",
                    "a",
                    "large",
                    0,
                    EndpointPhase.READY,
                    1_699_000_000_000_001L,
                    1,
                    0);
    private static final SnapshotEntry READY_2 =
            new SnapshotEntry(2, "10.0.0.2:8080", "a", "small", 1, EndpointPhase.READY, 0, 0.5, 0);
    private static final SnapshotEntry DRAINING_2 =
            new SnapshotEntry(
                    2,
                    "10.0.0.2:8080",
                    "a",
                    "small",
                    1,
                    EndpointPhase.DRAINING,
                    0,
                    0.5,
                    1_700_000_007_000L);
    private static final SnapshotEntry READY_4 =
            new SnapshotEntry(
                    4,
                    "[fd00::4]:8080",
                    "c",
                    "large",
                    2,
                    EndpointPhase.READY,
                    1_699_000_000_000_004L,
                    2,
                    0);
    private static final SnapshotEntry REMOVED_4 =
            new SnapshotEntry(
                    4,
                    "[fd00::4]:8080",
                    "c",
                    "large",
                    2,
                    EndpointPhase.REMOVED,
                    1_699_000_000_000_004L,
                    2,
                    1_700_000_009_000L);
    private static final SnapshotEntry READY_5 =
            new SnapshotEntry(
                    5,
                    "10.0.2.5:8080",
                    "c",
                    "small",
                    0,
                    EndpointPhase.READY,
                    1_700_000_006_500_000L,
                    0.25,
                    0);

    @TempDir private Path directory;
    private final List<String> logLines = new ArrayList<>();

    private static Path storedPath(String name) throws URISyntaxException {
        return Path.of(StoredDataCompatibilityTest.class.getResource(RESOURCES + name).toURI());
    }

    private void copyToDirectory(String name) throws IOException, URISyntaxException {
        try (Stream<Path> files = Files.list(storedPath(name))) {
            for (Path file : files.toList()) {
                Files.copy(file, directory.resolve(file.getFileName()));
            }
        }
    }

    private EndpointSnapshot open(String sidecar) throws IOException {
        try (WriteAheadLog log =
                WriteAheadLog.open(
                        DirectoryStorage.openExclusive(directory),
                        sidecar,
                        MAX_BYTES,
                        true,
                        logLines::add)) {
            return log.state();
        }
    }

    private List<String> fileNames() throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            return files.map(file -> file.getFileName().toString()).sorted().toList();
        }
    }

    private static Map<Long, SnapshotEntry> byId(SnapshotEntry... entries) {
        return Arrays.stream(entries)
                .collect(Collectors.toMap(SnapshotEntry::id, Function.identity()));
    }

    /** The stored epoch is 2, so the epoch of the next start is 3. */
    @Test
    void intactDirectoryIsRecoveredCompletely() throws Exception {
        copyToDirectory("intact");
        assertEquals(
                new EndpointSnapshot(
                        "n1",
                        3,
                        9,
                        1_700_000_009_000L,
                        byId(READY_1, DRAINING_2, REMOVED_3, REMOVED_4, READY_5)),
                open(SIDECAR));
        assertEquals(List.of(), logLines);
        assertEquals(List.of("lock", "state"), fileNames());
    }

    @Test
    void tornLogTailIsDiscarded() throws Exception {
        copyToDirectory("torn-log-tail");
        assertEquals(
                new EndpointSnapshot(
                        "n1",
                        3,
                        8,
                        1_700_000_008_000L,
                        byId(READY_1, DRAINING_2, REMOVED_3, READY_4, READY_5)),
                open(SIDECAR));
        assertEquals(List.of("WARN log_tail_discarded bytes=154"), logLines);
        assertEquals(List.of("lock", "state"), fileNames());
    }

    @Test
    void damagedSnapshotIsSetAsideAndNothingIsRecovered() throws Exception {
        copyToDirectory("damaged-snapshot");
        assertEquals(new EndpointSnapshot("n1", 1, 0, 0, Map.of()), open(SIDECAR));
        assertEquals(
                List.of(
                        "WARN snapshot_set_aside file=state reason=corrupt"
                                + " error=\"state is damaged\""),
                logLines);
        assertEquals(List.of("aside-log", "aside-state", "lock", "state"), fileNames());
        assertArrayEquals(
                Files.readAllBytes(storedPath("damaged-snapshot/" + SNAPSHOT)),
                Files.readAllBytes(directory.resolve("aside-state")));
        assertArrayEquals(
                Files.readAllBytes(storedPath("damaged-snapshot/" + LOG)),
                Files.readAllBytes(directory.resolve("aside-log")));
    }

    @Test
    void directoryOfAnotherSidecarIsSetAside() throws Exception {
        copyToDirectory("intact");
        assertEquals(new EndpointSnapshot("n2", 1, 0, 0, Map.of()), open("n2"));
        assertEquals(
                List.of(
                        "WARN snapshot_set_aside file=state reason=foreign"
                                + " error=\"state belongs to the sidecar 'n1'\""),
                logLines);
        assertEquals(List.of("aside-log", "aside-state", "lock", "state"), fileNames());
    }

    @Test
    void snapshotIsDecodedAndEncodedToIdenticalBytes() throws Exception {
        copyToDirectory("intact");
        try (Storage storage = DirectoryStorage.openExclusive(directory)) {
            byte[] body = AtomicFile.read(storage, SNAPSHOT, MAX_BYTES);
            EndpointSnapshotCodec.StoredSnapshot stored =
                    EndpointSnapshotCodec.decodeStored(SNAPSHOT, body);
            assertEquals(
                    new EndpointSnapshot(
                            "n1",
                            2,
                            6,
                            1_700_000_006_000L,
                            byId(READY_1, READY_2, DRAINING_3, READY_4)),
                    stored.snapshot());
            assertEquals(GENERATION, stored.generation());
            byte[] encoded = EndpointSnapshotCodec.encode(stored.snapshot(), GENERATION);
            AtomicFile.write(storage, SNAPSHOT, encoded);
        }
        assertArrayEquals(
                Files.readAllBytes(storedPath("intact/" + SNAPSHOT)),
                Files.readAllBytes(directory.resolve(SNAPSHOT)));
    }

    /** Repeats the two runs that the README describes, in an empty directory. */
    @Test
    void repeatedRunsWriteIdenticalBytes() throws Exception {
        try (WriteAheadLog first =
                WriteAheadLog.open(
                        DirectoryStorage.openExclusive(directory),
                        SIDECAR,
                        MAX_BYTES,
                        true,
                        logLines::add)) {
            first.append(
                    change(
                            true,
                            5,
                            READY_1,
                            READY_2,
                            withPhase(EndpointPhase.READY, DRAINING_3),
                            READY_4));
            first.append(change(false, 6, withPhase(EndpointPhase.DRAINING, DRAINING_3)));
        }
        try (WriteAheadLog second =
                WriteAheadLog.open(
                        DirectoryStorage.openExclusive(directory),
                        SIDECAR,
                        MAX_BYTES,
                        true,
                        logLines::add)) {
            second.append(change(false, 7, withPhase(EndpointPhase.DRAINING, READY_2), READY_5));
            second.append(
                    change(
                            true,
                            8,
                            READY_1,
                            withPhase(EndpointPhase.DRAINING, READY_2),
                            READY_4,
                            READY_5));
            second.append(change(false, 9, withPhase(EndpointPhase.REMOVED, READY_4)));
        }
        assertEquals(List.of(), logLines);
        assertEquals(List.of("lock", LOG, SNAPSHOT), fileNames());
        for (String name : List.of(LOG, SNAPSHOT)) {
            assertArrayEquals(
                    Files.readAllBytes(storedPath("intact/" + name)),
                    Files.readAllBytes(directory.resolve(name)),
                    name);
        }
    }

    private static SnapshotEntry withPhase(EndpointPhase phase, SnapshotEntry entry) {
        return new SnapshotEntry(
                entry.id(),
                entry.address(),
                entry.zone(),
                entry.model(),
                entry.cell(),
                phase,
                entry.startMicros(),
                entry.weight(),
                0);
    }

    private static SnapshotChange change(
            boolean complete, long revision, SnapshotEntry... entries) {
        Map<Long, SnapshotEntry> byId = new LinkedHashMap<>();
        for (SnapshotEntry entry : entries) {
            byId.put(entry.id(), entry);
        }
        return new SnapshotChange(complete, revision, 1_700_000_000_000L + 1_000 * revision, byId);
    }
}
