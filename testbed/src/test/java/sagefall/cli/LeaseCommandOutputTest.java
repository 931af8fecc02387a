package sagefall.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;
import sagefall.leaderelection.DirectoryLeaseStore;
import sagefall.leaderelection.SharedEndpointSnapshot;
import sagefall.persistence.SnapshotChange;

/**
 * Checks the output of {@code sagefall lease}. In the lease directory, sidecar n1 has released the
 * lease of term 1, and sidecar n2 has the lease of term 2.
 */
class LeaseCommandOutputTest {

    private static final long LEASE_NANOS = 3_600_000_000_000L;
    private static final Instant SNAPSHOT_AT = Instant.parse("2026-01-02T03:04:05Z");

    @TempDir private Path directory;
    private final StringWriter out = new StringWriter();
    private DirectoryLeaseStore store;

    @BeforeEach
    void setUp() throws IOException {
        store = new DirectoryLeaseStore(directory);
        store.acquire("n1", LEASE_NANOS);
        SharedEndpointSnapshot snapshot = new SharedEndpointSnapshot();
        snapshot.record(new SnapshotChange(true, 7, SNAPSHOT_AT.toEpochMilli(), Map.of()));
        snapshot.run(store, 1);
        store.release("n1", 1);
        store.acquire("n2", LEASE_NANOS);
    }

    private List<String> lease(String command) {
        CommandLine lease = new CommandLine(new LeaseCommand());
        lease.setOut(new PrintWriter(out));
        assertEquals(0, lease.execute(command, directory.toString()));
        return out.toString().lines().toList();
    }

    @Test
    void statusShowsLeaderAndSharedSnapshot() {
        List<String> lines = lease("status");
        assertEquals(
                "term 2, held by n2 for MILLIS ms more",
                lines.get(0).replaceFirst("for [0-9]+ ms", "for MILLIS ms"));
        assertEquals(
                "snapshot of term 1, revision 7 of 2026-01-02T03:04:05Z, 0 endpoints",
                lines.get(1));
        assertEquals(2, lines.size());
    }

    @Test
    void statusShowsNoLeaderAfterRelease() throws IOException {
        store.release("n2", 2);
        assertEquals("term 2, held by no sidecar", lease("status").get(0));
    }

    @Test
    void historyListsTermsWithLeadersAndReleases() throws IOException {
        Instant first = Instant.ofEpochMilli(store.status().past().get(0).grantedAtMillis());
        Instant second = Instant.ofEpochMilli(store.status().past().get(1).grantedAtMillis());
        assertEquals(
                List.of(
                        "term 1 from " + first + " on, released",
                        "term 2 from " + second + " on, n2"),
                lease("history"));
    }

    @Test
    void releaseEndsTermAndClearsLeader() throws IOException {
        assertEquals(List.of("term 2 has ended"), lease("release"));
        assertEquals("", store.status().grant().leader());
    }
}
