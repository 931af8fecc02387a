package sagefall.leaderelection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks the state machine and the lease store together, with random orders of steps in a {@link
 * LeaseModel}. After a write of a newer term, the store must accept no write of an older term.
 */
@Timeout(300)
class LeaseStateMachineTest {

    private static final long LEASE_NANOS = 20_000;
    private static final LeaseTimings TIMINGS = LeaseTimings.of(LEASE_NANOS);
    private static final int STEPS = Integer.getInteger("steps", 100_000);
    private static final boolean FENCED = true;

    private static LeaseModel model(long seed, LeaseTimings timings) {
        return new LeaseModel(seed, LEASE_NANOS, timings, FENCED);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void noWriteOfOlderTermIsAcceptedAfterNewerTerm(long seed) throws IOException {
        LeaseModel model = model(seed, TIMINGS);
        assertNull(model.run(STEPS));
        assertTrue(
                model.actions() > STEPS / 200 && model.newTerms() > STEPS / 10_000,
                model.actions() + " actions, " + model.newTerms() + " terms");
        assertTrue(model.rejections() > 0, "no write of a former leader was rejected");
        assertEquals(
                model.newestTerm(),
                model.observer().read("x").term(),
                "the published value is not that of the newest term");
    }

    @Test
    void modelFindsViolationIfMarginIsNegative() throws IOException {
        LeaseTimings withNegativeMargin =
                new LeaseTimings(
                        LEASE_NANOS,
                        -LEASE_NANOS / 2,
                        TIMINGS.maxPauseNanos(),
                        TIMINGS.pollNanos());
        assertNotNull(
                model(1, withNegativeMargin).run(STEPS),
                "no violation found with a negative margin");
    }

    @Test
    void marginPreventsViolationsIfPausesAreNotDetected() throws IOException {
        LeaseTimings withoutPauseDetection =
                new LeaseTimings(
                        LEASE_NANOS, TIMINGS.marginNanos(), 100 * LEASE_NANOS, TIMINGS.pollNanos());
        assertNull(
                model(1, withoutPauseDetection).run(STEPS),
                "the margin does not cover undetected pauses");
    }

    @Test
    void modelFindsViolationIfRejectedWritesAreTreatedAsAccepted() throws IOException {
        LeaseModel unfenced = new LeaseModel(1, LEASE_NANOS, TIMINGS, !FENCED);
        assertNotNull(unfenced.run(STEPS), "no violation found with rejected writes");
    }

    /**
     * A takeover takes at most the remaining time of a lease, a random delay of up to a third of a
     * lease, and some poll intervals. The 3000 ns cover the poll intervals.
     */
    @Test
    void leaderIsElectedWithinTakeoverTimeAfterFaultsEnd() throws IOException {
        for (int seed = 0; seed < 200; seed++) {
            LeaseModel model = model(seed, TIMINGS);
            model.run(300);
            assertTrue(
                    model.mayAnyCandidateActWithin(LEASE_NANOS + LEASE_NANOS / 3 + 3_000),
                    "seed " + seed);
        }
    }
}
