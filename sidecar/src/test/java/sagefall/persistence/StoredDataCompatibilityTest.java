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
 * Directories of the section {@code recovery} that the build of commit 732727c wrote are read as
 * they were then, and what is written now has the same bytes. How they were made is in their
 * README.
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
    private final List<String> messages = new ArrayList<>();

    private static Path stored(String name) throws URISyntaxException {
        return Path.of(StoredDataCompatibilityTest.class.getResource(RESOURCES + name).toURI());
    }

    private void copy(String name) throws IOException, URISyntaxException {
        try (Stream<Path> files = Files.list(stored(name))) {
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
                        messages::add)) {
            return log.state();
        }
    }

    private List<String> names() throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            return files.map(file -> file.getFileName().toString()).sorted().toList();
        }
    }

    private static Map<Long, SnapshotEntry> byId(SnapshotEntry... lines) {
        return Arrays.stream(lines)
                .collect(Collectors.toMap(SnapshotEntry::id, Function.identity()));
    }

    /** The epoch is that of the next start, 3. */
    @Test
    void intactDirectoryIsReadCompletely() throws Exception {
        copy("intact");
        assertEquals(
                new EndpointSnapshot(
                        "n1",
                        3,
                        9,
                        1_700_000_009_000L,
                        byId(READY_1, DRAINING_2, REMOVED_3, REMOVED_4, READY_5)),
                open(SIDECAR));
        assertEquals(List.of(), messages);
        assertEquals(List.of("lock", "state"), names());
    }

    @Test
    void tornLogTailIsDiscarded() throws Exception {
        copy("torn-log-tail");
        assertEquals(
                new EndpointSnapshot(
                        "n1",
                        3,
                        8,
                        1_700_000_008_000L,
                        byId(READY_1, DRAINING_2, REMOVED_3, READY_4, READY_5)),
                open(SIDECAR));
        assertEquals(List.of("WARN log_tail_discarded bytes=154"), messages);
        assertEquals(List.of("lock", "state"), names());
    }

    @Test
    void damagedSnapshotIsSetAsideAndNothingIsRecovered() throws Exception {
        copy("damaged-snapshot");
        assertEquals(new EndpointSnapshot("n1", 1, 0, 0, Map.of()), open(SIDECAR));
        assertEquals(
                List.of(
                        "WARN snapshot_set_aside file=state reason=corrupt"
                                + " error=\"state is damaged\""),
                messages);
        assertEquals(List.of("aside-log", "aside-state", "lock", "state"), names());
        assertArrayEquals(
                Files.readAllBytes(stored("damaged-snapshot/" + SNAPSHOT)),
                Files.readAllBytes(directory.resolve("aside-state")));
        assertArrayEquals(
                Files.readAllBytes(stored("damaged-snapshot/" + LOG)),
                Files.readAllBytes(directory.resolve("aside-log")));
    }

    @Test
    void directoryOfAnotherSidecarIsSetAside() throws Exception {
        copy("intact");
        assertEquals(new EndpointSnapshot("n2", 1, 0, 0, Map.of()), open("n2"));
        assertEquals(
                List.of(
                        "WARN snapshot_set_aside file=state reason=foreign"
                                + " error=\"state belongs to the sidecar 'n1'\""),
                messages);
        assertEquals(List.of("aside-log", "aside-state", "lock", "state"), names());
    }

    @Test
    void snapshotAloneIsReadAndWrittenWithTheSameBytes() throws Exception {
        copy("intact");
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
                Files.readAllBytes(stored("intact/" + SNAPSHOT)),
                Files.readAllBytes(directory.resolve(SNAPSHOT)));
    }

    /** The two runs of the README once more, in an empty directory. */
    @Test
    void sameChangesAreWrittenWithTheSameBytes() throws Exception {
        try (WriteAheadLog first =
                WriteAheadLog.open(
                        DirectoryStorage.openExclusive(directory),
                        SIDECAR,
                        MAX_BYTES,
                        true,
                        messages::add)) {
            first.append(
                    change(
                            true,
                            5,
                            READY_1,
                            READY_2,
                            at(EndpointPhase.READY, DRAINING_3),
                            READY_4));
            first.append(change(false, 6, at(EndpointPhase.DRAINING, DRAINING_3)));
        }
        try (WriteAheadLog second =
                WriteAheadLog.open(
                        DirectoryStorage.openExclusive(directory),
                        SIDECAR,
                        MAX_BYTES,
                        true,
                        messages::add)) {
            second.append(change(false, 7, at(EndpointPhase.DRAINING, READY_2), READY_5));
            second.append(
                    change(
                            true,
                            8,
                            READY_1,
                            at(EndpointPhase.DRAINING, READY_2),
                            READY_4,
                            READY_5));
            second.append(change(false, 9, at(EndpointPhase.REMOVED, READY_4)));
        }
        assertEquals(List.of(), messages);
        assertEquals(List.of("lock", LOG, SNAPSHOT), names());
        for (String name : List.of(LOG, SNAPSHOT)) {
            assertArrayEquals(
                    Files.readAllBytes(stored("intact/" + name)),
                    Files.readAllBytes(directory.resolve(name)),
                    name);
        }
    }

    private static SnapshotEntry at(EndpointPhase phase, SnapshotEntry line) {
        return new SnapshotEntry(
                line.id(),
                line.address(),
                line.zone(),
                line.kind(),
                line.cell(),
                phase,
                line.startMicros(),
                line.weight(),
                0);
    }

    private static SnapshotChange change(boolean all, long revision, SnapshotEntry... lines) {
        Map<Long, SnapshotEntry> byId = new LinkedHashMap<>();
        for (SnapshotEntry line : lines) {
            byId.put(line.id(), line);
        }
        return new SnapshotChange(all, revision, 1_700_000_000_000L + 1_000 * revision, byId);
    }
}
