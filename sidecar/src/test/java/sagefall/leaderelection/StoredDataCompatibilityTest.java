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
 * Checks that this build can read a lease directory that the build of commit 732727c wrote, and
 * that this build writes identical bytes. The README of the stored data describes how the directory
 * was created.
 */
class StoredDataCompatibilityTest {

    private static final String RESOURCES = "/stored-data/duties";
    private static final String BOOT_ID = "boot-of-the-test";
    private static final String LEADER_2 = "n2#102#2000000";
    private static final String LEADER_3 = "n3#103#3000000";
    private static final String CANDIDATE_4 = "n4#104#4000000";
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long LEASE_NANOS = 3 * NANOS_PER_SECOND;
    private static final long RENEWED_AT_NANOS = 5_100_000_000L;
    private static final long TERM_1_AT_MILLIS = 1_796_233_634_156L;
    private static final long TERM_2_AT_MILLIS = 1_796_233_634_332L;
    private static final long TERM_3_AT_MILLIS = 1_796_233_634_342L;
    private static final long EXPIRES_AT_NANOS = RENEWED_AT_NANOS + LEASE_NANOS;

    private static final EndpointSnapshot SNAPSHOT =
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
    private long nowNanos = RENEWED_AT_NANOS;

    private static Path storedDirectory() throws URISyntaxException {
        return Path.of(StoredDataCompatibilityTest.class.getResource(RESOURCES).toURI());
    }

    @BeforeEach
    void copyStoredDirectory() throws IOException, URISyntaxException {
        try (Stream<Path> files = Files.list(storedDirectory())) {
            for (Path file : files.toList()) {
                Files.copy(file, directory.resolve(file.getFileName()));
            }
        }
    }

    private DirectoryLeaseStore store(String bootId) throws IOException {
        return new DirectoryLeaseStore(
                DirectoryStorage.openShared(directory), () -> nowNanos, bootId, "1");
    }

    /**
     * The directory contains three terms. Term 1 was released and has no leader. Term 2 has
     * expired. Term 3 is current.
     */
    @Test
    void statusContainsStoredTermsWithTheirLeaders() throws IOException {
        LeaseStatus status = store(BOOT_ID).status();
        assertEquals(new LeaseGrant(3, LEADER_3, LEASE_NANOS, 0), status.grant());
        assertEquals(
                List.of(
                        new PastTerm(1, "", TERM_1_AT_MILLIS),
                        new PastTerm(2, LEADER_2, TERM_2_AT_MILLIS),
                        new PastTerm(3, LEADER_3, TERM_3_AT_MILLIS)),
                status.past());
    }

    @Test
    void readReturnsSnapshotOfGreatestTermThatPublishedOne() throws IOException {
        assertEquals(
                new PublishedSnapshot(SNAPSHOT, 2), SharedEndpointSnapshot.read(store(BOOT_ID)));
    }

    @Test
    void leaseIsNotGrantedToAnotherProcessUntilItExpires() throws IOException {
        nowNanos = EXPIRES_AT_NANOS - 1;
        assertEquals(
                new LeaseGrant(3, LEADER_3, 1, 0),
                store(BOOT_ID).acquire(CANDIDATE_4, LEASE_NANOS));
        nowNanos = EXPIRES_AT_NANOS;
        assertEquals(
                new LeaseGrant(4, CANDIDATE_4, LEASE_NANOS, 0),
                store(BOOT_ID).acquire(CANDIDATE_4, LEASE_NANOS));
    }

    @Test
    void termOfEarlierBootHasExpired() throws IOException {
        assertEquals(new LeaseGrant(3, LEADER_3, 0, 0), store("later-boot").status().grant());
        assertEquals(
                new LeaseGrant(4, CANDIDATE_4, LEASE_NANOS, 0),
                store("later-boot").acquire(CANDIDATE_4, LEASE_NANOS));
    }

    @Test
    void publishIsRejectedUnlessTermIsTheNewest() throws IOException {
        byte[] body = EndpointSnapshotCodec.encode(SNAPSHOT, 2);
        assertFalse(store(BOOT_ID).publish(2, "digest", body));
        assertTrue(store(BOOT_ID).publish(3, "digest", body));
        assertEquals(
                new PublishedSnapshot(SNAPSHOT, 3), SharedEndpointSnapshot.read(store(BOOT_ID)));
    }

    @Test
    void renewedTermIsWrittenWithIdenticalBytes() throws IOException, URISyntaxException {
        assertEquals(
                new LeaseGrant(3, LEADER_3, LEASE_NANOS, 0),
                store(BOOT_ID).renew(LEADER_3, 3, LEASE_NANOS));
        assertArrayEquals(
                Files.readAllBytes(storedDirectory().resolve("term-3")),
                Files.readAllBytes(directory.resolve("term-3")));
    }

    @Test
    void snapshotIsWrittenWithIdenticalBytes() throws IOException {
        FencedValue value = store(BOOT_ID).read("digest");
        EndpointSnapshot snapshot = EndpointSnapshotCodec.decode("digest", value.body());
        assertArrayEquals(value.body(), EndpointSnapshotCodec.encode(snapshot, value.term()));
    }
}
