package sagefall.persistence;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import sagefall.logging.LogEvent;

/** What is recovered after a power loss is what was written, or an earlier state of it. */
@Timeout(120)
class PowerLossTest {

    private static final long NEVER = Long.MAX_VALUE;

    /** More calls than one incarnation makes. */
    private static final int CALLS = 40;

    private static final int CHANGES_PER_INCARNATION = 6;
    private static final int MAX_BYTES = 64 * 1024;

    private final List<String> lines = new ArrayList<>();

    /** What several incarnations in a row have written and seen. */
    private static final class Expectation {
        final Map<Long, EndpointSnapshot> snapshotsByRevision = new HashMap<>();
        long epoch;

        /** The append of that revision has returned: it must not be lost any more. */
        long durableRevision;

        void check(EndpointSnapshot found) {
            assertTrue(found.epoch() > epoch, "epoch " + found.epoch() + " after " + epoch);
            epoch = found.epoch();
            assertTrue(
                    found.revision() >= durableRevision,
                    "revision " + found.revision() + " after " + durableRevision);
            if (found.revision() > 0) {
                EndpointSnapshot written = snapshotsByRevision.get(found.revision());
                assertEquals(written.endpoints(), found.endpoints());
            }
        }
    }

    private void runIncarnation(
            LossyStorage storage, Expectation expectation, SplittableRandom random)
            throws IOException {
        WriteAheadLog log = WriteAheadLog.open(storage, "n1", MAX_BYTES, true, lines::add);
        expectation.check(log.state());
        for (int i = 0; i < CHANGES_PER_INCARNATION; i++) {
            long revision = log.state().revision() + 1;
            boolean complete = random.nextInt(3) == 0;
            int draining = 1 + random.nextInt(SnapshotChanges.FLEET_SIZE);
            SnapshotChange change =
                    complete
                            ? SnapshotChanges.complete(revision, draining)
                            : SnapshotChanges.draining(revision, draining);
            expectation.snapshotsByRevision.put(revision, log.state().with(change));
            log.append(change);
            expectation.durableRevision = revision;
        }
    }

    /**
     * Runs three incarnations over two losses of power, the first one at the given call; returns
     * how many of the incarnations lost it.
     */
    private int losePower(long firstLossAt, SplittableRandom random) throws IOException {
        LossyStorage storage = new LossyStorage(firstLossAt, random.nextLong());
        Expectation expectation = new Expectation();
        int losses = 0;
        for (long nextLossAt : new long[] {random.nextInt(30), NEVER, NEVER}) {
            try {
                runIncarnation(storage, expectation, random);
            } catch (LossyStorage.PowerLoss e) {
                losses++;
            }
            storage = storage.afterPowerLoss(nextLossAt, random.nextLong());
        }
        return losses;
    }

    /**
     * The power goes at every single call of an incarnation, and at some call of the next one, with
     * twenty outcomes each for what was not forced: what is recovered is one whole earlier state,
     * nothing that was relied on is lost, and no epoch comes twice.
     */
    @Test
    void powerLossAtAnyCallLeavesOneEarlierState() throws IOException {
        int losses = 0;
        for (int seed = 0; seed < 20; seed++) {
            for (long lossAt = 0; lossAt < CALLS; lossAt++) {
                losses += losePower(lossAt, new SplittableRandom(1000L * seed + lossAt));
            }
        }
        assertTrue(losses > 800, losses + " losses");
        String setAside = LogEvent.SNAPSHOT_SET_ASIDE.eventName();
        assertFalse(lines.stream().anyMatch(line -> line.contains(setAside)), lines::toString);
    }
}
