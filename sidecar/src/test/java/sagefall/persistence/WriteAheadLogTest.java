package sagefall.persistence;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import sagefall.balancer.api.EndpointPhase;

/** What is kept is read as it was, or as it was a moment before, whatever happened in between. */
@Timeout(120)
class WriteAheadLogTest {

    private static final long NEVER = Long.MAX_VALUE;

    /** More than a life makes. */
    private static final int CALLS = 40;

    private static final int BOUND = 64 * 1024;

    private final List<String> said = new ArrayList<>();

    static SnapshotChange change(boolean all, long revision, int... drained) {
        Map<Long, SnapshotEntry> lines = new HashMap<>();
        for (int i = 1; all && i <= 8; i++) {
            lines.put((long) i, line(i, EndpointPhase.READY));
        }
        for (int id : drained) {
            lines.put((long) id, line(id, EndpointPhase.DRAINING));
        }
        return new SnapshotChange(all, revision, 1000 * revision, lines);
    }

    private static SnapshotEntry line(long id, EndpointPhase phase) {
        return new SnapshotEntry(id, "127.0.0.1:" + (9000 + id), "a", "m", 0, phase, 10 * id, 1, 0);
    }

    private WriteAheadLog open(Storage disk) throws IOException {
        return WriteAheadLog.open(disk, "n1", BOUND, true, said::add);
    }

    /** What lives in a row have seen. */
    private static final class Seen {
        final Map<Long, EndpointSnapshot> states = new HashMap<>();
        long epoch;

        /** Its append has returned: it must not be lost any more. */
        long sure;
    }

    private void live(LossyStorage disk, Seen seen, SplittableRandom random) throws IOException {
        WriteAheadLog journal = open(disk);
        EndpointSnapshot found = journal.state();
        assertTrue(found.epoch() > seen.epoch, "epoch " + found.epoch() + " after " + seen.epoch);
        seen.epoch = found.epoch();
        assertTrue(
                found.revision() >= seen.sure,
                "revision " + found.revision() + " after " + seen.sure);
        if (found.revision() > 0) {
            assertEquals(seen.states.get(found.revision()).lines(), found.lines());
        }
        for (int i = 0; i < 6; i++) {
            long next = journal.state().revision() + 1;
            SnapshotChange change = change(random.nextInt(3) == 0, next, 1 + random.nextInt(8));
            seen.states.put(next, journal.state().with(change));
            journal.append(change);
            seen.sure = next;
        }
    }

    /**
     * The power goes at every single call of a life, and at some call of the next one, with twenty
     * outcomes each for what was not forced: what is then read is one whole earlier state, nothing
     * that was relied on is lost, and no epoch comes twice.
     */
    @Test
    void powerLossAtEveryCallLeavesOneWholeState() throws IOException {
        int losses = 0;
        for (int seed = 0; seed < 20; seed++) {
            for (long at = 0; at < CALLS; at++) {
                SplittableRandom random = new SplittableRandom(1000L * seed + at);
                LossyStorage disk = new LossyStorage(at, random.nextLong());
                Seen seen = new Seen();
                for (long next : new long[] {random.nextInt(30), NEVER, NEVER}) {
                    try {
                        live(disk, seen, random);
                    } catch (LossyStorage.PowerLoss e) {
                        losses++;
                    }
                    disk = disk.after(next, random.nextLong());
                }
            }
        }
        assertTrue(losses > 800, losses + " losses");
        assertFalse(said.stream().anyMatch(s -> s.startsWith("put aside")), said::toString);
    }

    private LossyStorage written() throws IOException {
        LossyStorage disk = new LossyStorage(NEVER, 1);
        WriteAheadLog journal = open(disk);
        journal.append(change(true, 5));
        journal.append(change(false, 6, 3));
        journal.append(change(false, 7, 4));
        return disk;
    }

    private EndpointSnapshot again(LossyStorage disk) throws IOException {
        said.clear();
        return open(disk).state();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                // file, byte from its beginning or, below 0, its end, what it becomes | revision
                // read | said
                "log-1 | -1 | x | 6 | the last",
                "log-1 | 60 | x | 0 | put aside, nothing is kept: log-1 is damaged at byte 8",
                "log-1 | 7 | 2 | 0 | put aside, nothing is kept: log-1 has format 2, this program"
                        + " knows 1",
                "log-1 | 0 | x | 0 | put aside, nothing is kept: log-1 is damaged",
                "state | 7 | 2 | 0 | put aside, nothing is kept: state has format 2, this program"
                        + " knows 1",
                "state | 30 | x | 0 | put aside, nothing is kept: state is damaged",
                "state | 0 | x | 0 | put aside, nothing is kept: state is damaged",
            })
    void damageIsPutAsideAndATornTailIsCut(
            String file, int at, String becomes, long revision, String line) throws IOException {
        LossyStorage disk = written();
        byte[] bytes = disk.get(file);
        int place = at < 0 ? bytes.length + at : at;
        bytes[place] = (byte) (becomes.equals("2") ? 2 : bytes[place] ^ 0x40);
        disk.put(file, bytes);
        EndpointSnapshot read = again(disk);
        assertEquals(revision, read.revision());
        assertEquals(1, said.size(), said::toString);
        assertTrue(said.get(0).startsWith(line), said::toString);
        boolean aside = line.startsWith("put");
        assertEquals(aside, disk.names().stream().anyMatch(n -> n.startsWith(WriteAheadLog.ASIDE)));
        // An epoch is lost only with the one file that holds it.
        assertEquals(aside && file.equals("state") ? 1 : 2, read.epoch());
        assertEquals(read.epoch() + 1, again(disk).epoch());
    }

    @Test
    void anotherSidecarsFolderAndAFileOverTheBoundArePutAside() throws IOException {
        LossyStorage disk = written();
        assertEquals(0, WriteAheadLog.open(disk, "n2", BOUND, true, said::add).state().revision());
        assertTrue(said.get(0).contains("belongs to the sidecar 'n1'"), said::toString);
        disk = written();
        disk.put("state", new byte[BOUND + 1]);
        assertEquals(0, again(disk).revision());
        assertTrue(said.get(0).contains("over the bound"), said::toString);
    }

    /** Any bytes at all: read in bounded time, and never as something that was not written. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void seededDamageIsNeverBelieved(long seed) throws IOException {
        SplittableRandom random = new SplittableRandom(seed);
        LossyStorage whole = written();
        for (int i = 0; i < 3000; i++) {
            LossyStorage disk = new LossyStorage(NEVER, 1);
            for (String name : whole.names()) {
                byte[] bytes = whole.get(name);
                for (int n = random.nextInt(4); n > 0; n--) {
                    bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
                }
                disk.put(
                        name,
                        random.nextInt(8) == 0
                                ? Arrays.copyOf(bytes, random.nextInt(bytes.length + 40))
                                : bytes);
            }
            EndpointSnapshot read = again(disk);
            assertTrue(List.of(0L, 5L, 6L, 7L).contains(read.revision()));
            assertEquals(read.revision() == 0 ? 0 : 8, read.lines().size());
        }
    }

    @Test
    void theLogIsFoldedIntoASnapshotBeforeItPassesTheBound() throws IOException {
        LossyStorage disk = new LossyStorage(NEVER, 1);
        WriteAheadLog journal = open(disk);
        for (int i = 1; i < 2000; i++) {
            journal.append(change(false, i, 1 + i % 8));
            assertTrue(disk.names().stream().mapToInt(n -> disk.get(n).length).sum() < BOUND);
        }
        assertEquals(1999, again(disk).revision());
    }

    /** Whoever is gone stays known as such, the latest of them, and since when. */
    @Test
    void whatIsGoneIsKeptToo() {
        EndpointSnapshot kept =
                EndpointSnapshot.nothing("n1").with(change(true, 5)).with(change(false, 6, 3));
        assertEquals(6000, kept.lines().get(3L).toldMillis());
        kept =
                kept.with(
                        new SnapshotChange(
                                true, 9, 9000, Map.of(1L, line(1, EndpointPhase.READY))));
        assertEquals(EndpointPhase.REMOVED, kept.lines().get(3L).phase());
        assertEquals(6000, kept.lines().get(3L).toldMillis());
        assertEquals(9000, kept.lines().get(2L).toldMillis());
        assertEquals(EndpointPhase.READY, kept.lines().get(1L).phase());
        for (int i = 0; i < 3000; i++) {
            kept =
                    kept.with(
                            new SnapshotChange(
                                    false,
                                    10 + i,
                                    10_000 + i,
                                    Map.of(100L + i, line(100 + i, EndpointPhase.REMOVED))));
        }
        assertEquals(EndpointSnapshot.MOST_GONE + 1, kept.lines().size());
        assertTrue(kept.lines().containsKey(3099L));
    }

    // ---- The thread that keeps

    private static PersistenceSettings section(Path folder) {
        return new PersistenceSettings(folder, BOUND, 60_000, true, 0);
    }

    /** While the disk stands still the host goes on and changes are merged; then it catches up. */
    @Test
    void aStalledDiskHoldsNobodyUp(@TempDir Path folder) throws Exception {
        CountDownLatch stalled = new CountDownLatch(1);
        LossyStorage disk = new LossyStorage(NEVER, 1);
        BlockingQueue<String> lines = new LinkedBlockingQueue<>();
        try (SnapshotStore keeper =
                new SnapshotStore(
                        section(folder),
                        "n1",
                        lines::add,
                        () -> {
                            try {
                                stalled.await();
                            } catch (InterruptedException e) {
                                throw new IOException(e);
                            }
                            return disk;
                        })) {
            assertNull(keeper.opened(1));
            assertTrue(lines.take().contains("the folder does not answer"));
            keeper.told(change(true, 5));
            keeper.told(change(false, 6, 3));
            keeper.told(change(false, 7, 4));
            stalled.countDown();
        }
        EndpointSnapshot read = again(disk);
        assertEquals(7, read.revision());
        assertEquals(
                List.of(EndpointPhase.DRAINING, EndpointPhase.DRAINING),
                List.of(read.lines().get(3L).phase(), read.lines().get(4L).phase()));
    }

    @Test
    void aFullDiskIsToldOnceAndTakenUpAgain(@TempDir Path folder) throws Exception {
        LossyStorage disk = new LossyStorage(NEVER, 1);
        BlockingQueue<String> lines = new LinkedBlockingQueue<>();
        try (SnapshotStore keeper =
                new SnapshotStore(section(folder), "n1", lines::add, () -> disk)) {
            assertEquals(1, keeper.opened(60_000).epoch());
            disk.room = 10;
            keeper.told(change(true, 5));
            assertTrue(lines.poll(60, TimeUnit.SECONDS).contains("discovery tells: No space left"));
            disk.room = NEVER;
            keeper.told(change(false, 6, 3));
            assertTrue(lines.poll(60, TimeUnit.SECONDS).contains("keeping again"));
        }
        assertTrue(lines.isEmpty(), lines::toString);
        assertEquals(6, again(disk).revision());
    }

    /**
     * The folder goes while files of it are open: said once, and taken up again when it is back.
     */
    @Test
    void aFolderThatGoesIsToldAndTakenUpAgain(@TempDir Path parent) throws Exception {
        Path folder = parent.resolve("kept");
        BlockingQueue<String> lines = new LinkedBlockingQueue<>();
        try (SnapshotStore keeper = new SnapshotStore(section(folder), "n1", lines::add)) {
            assertEquals(1, keeper.opened(60_000).epoch());
            keeper.told(change(true, 5));
            while (!Files.exists(folder.resolve("log-1"))) {
                Thread.onSpinWait();
            }
            Files.move(folder, parent.resolve("away"));
            keeper.told(change(false, 6, 3));
            assertTrue(
                    lines.poll(60, TimeUnit.SECONDS).contains("can't keep what discovery tells"));
            Files.createDirectory(folder);
            assertTrue(lines.poll(60, TimeUnit.SECONDS).contains("keeping again"));
        }
        EndpointSnapshot read =
                WriteAheadLog.open(DirectoryStorage.own(folder), "n1", BOUND, true, said::add)
                        .state();
        assertEquals(6, read.revision());
    }

    @Test
    void aSecondProcessGoesOnWithout(@TempDir Path folder) throws Exception {
        BlockingQueue<String> lines = new LinkedBlockingQueue<>();
        try (SnapshotStore first = new SnapshotStore(section(folder), "n1", lines::add);
                SnapshotStore second = new SnapshotStore(section(folder), "n1", lines::add)) {
            EndpointSnapshot a = first.opened(60_000);
            EndpointSnapshot b = second.opened(60_000);
            assertTrue(a == null ^ b == null);
            assertTrue(lines.take().contains("in use by another process"));
        }
    }

    /** A clock that was set back or far on makes what is kept old. */
    @ParameterizedTest
    @CsvSource({"0, true", "-120000, false", "120000, false"})
    void aClockThatIsWrongMakesItOld(long offset, boolean fresh, @TempDir Path folder)
            throws Exception {
        try (SnapshotStore keeper =
                new SnapshotStore(
                        new PersistenceSettings(folder, BOUND, 60_000, true, offset),
                        "n1",
                        s -> {})) {
            EndpointSnapshot kept =
                    EndpointSnapshot.nothing("n1")
                            .with(
                                    new SnapshotChange(
                                            true, 5, System.currentTimeMillis() - 1000, Map.of()));
            assertEquals(fresh, keeper.fresh(kept));
        }
    }
}
