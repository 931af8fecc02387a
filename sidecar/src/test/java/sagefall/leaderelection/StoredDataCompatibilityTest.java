package sagefall.leaderelection;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sagefall.balancer.api.EndpointPhase;
import sagefall.persistence.DirectoryStorage;
import sagefall.persistence.EndpointSnapshot;
import sagefall.persistence.EndpointSnapshotCodec;
import sagefall.persistence.SnapshotEntry;

/**
 * A directory of the section {@code duties} that the build of commit 732727c wrote is read as it
 * was then, and what is written now has the same bytes. How it was made is in its README.
 */
class StoredDataCompatibilityTest {

    private static final String RESOURCES = "/stored-data/duties";
    private static final String BOOT = "boot-of-the-test";
    private static final String OWNER_2 = "n2#102#2000000";
    private static final String OWNER_3 = "n3#103#3000000";
    private static final String OWNER_4 = "n4#104#4000000";
    private static final long SECOND = 1_000_000_000L;
    private static final long LEASE = 3 * SECOND;
    private static final long RENEWED_AT = 5_100_000_000L;
    private static final long TERM_1_AT_MILLIS = 1_796_233_634_156L;
    private static final long TERM_2_AT_MILLIS = 1_796_233_634_332L;
    private static final long TERM_3_AT_MILLIS = 1_796_233_634_342L;
    private static final long ENDS_AT = RENEWED_AT + LEASE;

    private static final EndpointSnapshot DIGEST =
            new EndpointSnapshot(
                    "digest",
                    0,
                    7,
                    1_700_000_007_000L,
                    Map.of(
                            1L,
                                    new SnapshotEntry(
                                            1,
                                            "10.0.0.1:8080",
                                            "a",
                                            "large",
                                            0,
                                            EndpointPhase.READY,
                                            1_699_000_000_000_001L,
                                            1,
                                            0),
                            2L,
                                    new SnapshotEntry(
                                            2,
                                            "10.0.0.2:8080",
                                            "a",
                                            "small",
                                            1,
                                            EndpointPhase.DRAINING,
                                            0,
                                            0.5,
                                            1_700_000_007_000L),
                            3L,
                                    new SnapshotEntry(
                                            3,
                                            "10.0.1.3:8080",
                                            "b",
                                            "large",
                                            0,
                                            EndpointPhase.REMOVED,
                                            1_699_000_000_000_003L,
                                            1,
                                            1_700_000_007_000L)));

    @TempDir private Path directory;
    private long now = RENEWED_AT;

    private static Path stored() throws URISyntaxException {
        return Path.of(StoredDataCompatibilityTest.class.getResource(RESOURCES).toURI());
    }

    @BeforeEach
    void copy() throws IOException, URISyntaxException {
        try (Stream<Path> files = Files.list(stored())) {
            for (Path file : files.toList()) {
                Files.copy(file, directory.resolve(file.getFileName()));
            }
        }
    }

    private DirectoryLeaseStore store(String boot) throws IOException {
        return new DirectoryLeaseStore(
                DirectoryStorage.openShared(directory), () -> now, boot, "1");
    }

    /** Term 1 was released, so it names no owner any more; term 2 expired; term 3 is held. */
    @Test
    void termsAndOwnersAreRead() throws IOException {
        LeaseStatus status = store(BOOT).status();
        assertEquals(new LeaseGrant(3, OWNER_3, LEASE, 0), status.grant());
        assertEquals(
                List.of(
                        new PastTerm(1, "", TERM_1_AT_MILLIS),
                        new PastTerm(2, OWNER_2, TERM_2_AT_MILLIS),
                        new PastTerm(3, OWNER_3, TERM_3_AT_MILLIS)),
                status.past());
    }

    @Test
    void digestOfTheGreatestTermIsRead() throws IOException {
        assertEquals(new PublishedSnapshot(DIGEST, 2), SharedEndpointSnapshot.read(store(BOOT)));
    }

    @Test
    void heldTermKeepsOthersOutUntilItExpires() throws IOException {
        now = ENDS_AT - 1;
        assertEquals(new LeaseGrant(3, OWNER_3, 1, 0), store(BOOT).acquire(OWNER_4, LEASE));
        now = ENDS_AT;
        assertEquals(new LeaseGrant(4, OWNER_4, LEASE, 0), store(BOOT).acquire(OWNER_4, LEASE));
    }

    @Test
    void termOfAnEarlierBootHasExpired() throws IOException {
        assertEquals(new LeaseGrant(3, OWNER_3, 0, 0), store("later-boot").status().grant());
        assertEquals(
                new LeaseGrant(4, OWNER_4, LEASE, 0), store("later-boot").acquire(OWNER_4, LEASE));
    }

    @Test
    void onlyTheNewestTermPublishes() throws IOException {
        byte[] body = EndpointSnapshotCodec.encode(DIGEST, 2);
        assertFalse(store(BOOT).publish(2, "digest", body));
        assertTrue(store(BOOT).publish(3, "digest", body));
        assertEquals(new PublishedSnapshot(DIGEST, 3), SharedEndpointSnapshot.read(store(BOOT)));
    }

    @Test
    void renewedTermIsWrittenWithTheSameBytes() throws IOException, URISyntaxException {
        assertEquals(new LeaseGrant(3, OWNER_3, LEASE, 0), store(BOOT).renew(OWNER_3, 3, LEASE));
        assertArrayEquals(
                Files.readAllBytes(stored().resolve("term-3")),
                Files.readAllBytes(directory.resolve("term-3")));
    }

    @Test
    void digestIsWrittenWithTheSameBytes() throws IOException {
        FencedValue value = store(BOOT).read("digest");
        EndpointSnapshot digest = EndpointSnapshotCodec.decode("digest", value.body());
        assertArrayEquals(value.body(), EndpointSnapshotCodec.encode(digest, value.term()));
    }
}
