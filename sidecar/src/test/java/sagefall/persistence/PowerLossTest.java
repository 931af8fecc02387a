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

/** Checks that the state recovered after a power loss is one of the written states. */
@Timeout(120)
class PowerLossTest {

    private static final long NEVER = Long.MAX_VALUE;

    /** Upper bound on the number of storage calls that one incarnation makes. */
    private static final int MAX_CALLS = 40;

    private static final int CHANGES_PER_INCARNATION = 6;
    private static final int MAX_BYTES = 64 * 1024;

    private final List<String> logLines = new ArrayList<>();

    /** Records the states that successive incarnations write, and checks each recovered state. */
    private static final class Expectation {
        final Map<Long, EndpointSnapshot> snapshotsByRevision = new HashMap<>();
        long epoch;

        /** Last revision whose append has returned. This revision must survive a power loss. */
        long durableRevision;

        void check(EndpointSnapshot recovered) {
            assertTrue(recovered.epoch() > epoch, "epoch " + recovered.epoch() + " after " + epoch);
            epoch = recovered.epoch();
            assertTrue(
                    recovered.revision() >= durableRevision,
                    "revision " + recovered.revision() + " after " + durableRevision);
            if (recovered.revision() > 0) {
                EndpointSnapshot written = snapshotsByRevision.get(recovered.revision());
                assertEquals(written.endpoints(), recovered.endpoints());
            }
        }
    }

    private void runIncarnation(
            LossyStorage storage, Expectation expectation, SplittableRandom random)
            throws IOException {
        WriteAheadLog log = WriteAheadLog.open(storage, "n1", MAX_BYTES, true, logLines::add);
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
     * Runs three incarnations with up to two power losses.
     *
     * @param firstLossAt number of storage calls before the first power loss
     * @return number of incarnations that lost power
     */
    private int runIncarnations(long firstLossAt, SplittableRandom random) throws IOException {
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
     * Loses power at each storage call of one incarnation and at a random call of the next one.
     * Each combination runs with twenty seeds, which determine the unforced data that survives. The
     * recovered state must equal one written state. No appended change may be lost. No epoch may be
     * used twice.
     */
    @Test
    void powerLossAtAnyCallLeavesOneWrittenState() throws IOException {
        int losses = 0;
        for (int seed = 0; seed < 20; seed++) {
            for (long lossAt = 0; lossAt < MAX_CALLS; lossAt++) {
                losses += runIncarnations(lossAt, new SplittableRandom(1000L * seed + lossAt));
            }
        }
        // There are 800 runs (20 seeds times 40 calls). The average number of losses in a run must
        // exceed one.
        assertTrue(losses > 800, losses + " losses");
        String setAside = LogEvent.SNAPSHOT_SET_ASIDE.eventName();
        assertFalse(
                logLines.stream().anyMatch(line -> line.contains(setAside)), logLines::toString);
    }
}
