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
 * The state machine and the store, explored by a {@link LeaseModel}: whatever the order of steps,
 * no older term changes anything after a newer one.
 */
@Timeout(300)
class LeaseStateMachineTest {

    private static final long LEASE = 20_000;
    private static final LeaseTimings TIMINGS = LeaseTimings.of(LEASE);
    private static final int STEPS = Integer.getInteger("steps", 100_000);
    private static final boolean FENCED = true;

    private static LeaseModel model(long seed, LeaseTimings timings) {
        return new LeaseModel(seed, LEASE, timings, FENCED);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void noOlderTermActsAfterANewerOne(long seed) throws IOException {
        LeaseModel model = model(seed, TIMINGS);
        assertNull(model.run(STEPS));
        assertTrue(
                model.actions() > STEPS / 200 && model.newTerms() > STEPS / 10_000,
                model.actions() + " actions, " + model.newTerms() + " terms");
        assertTrue(model.rejections() > 0, "no late owner was ever rejected");
        assertEquals(
                model.newestTerm(),
                model.observer().read("x").term(),
                "what counts is the newest term's");
    }

    @Test
    void modelFindsABreachWithoutTheMargin() throws IOException {
        LeaseTimings late =
                new LeaseTimings(LEASE, -LEASE / 2, TIMINGS.pauseNanos(), TIMINGS.pollNanos());
        assertNotNull(model(1, late).run(STEPS), "no margin");
    }

    @Test
    void marginCoversPausesThatAreNotNoticed() throws IOException {
        LeaseTimings blind =
                new LeaseTimings(LEASE, TIMINGS.marginNanos(), 100 * LEASE, TIMINGS.pollNanos());
        assertNull(model(1, blind).run(STEPS), "a pause alone is what the margin covers");
    }

    @Test
    void modelFindsABreachWithoutTheFencingToken() throws IOException {
        LeaseModel unfenced = new LeaseModel(1, LEASE, TIMINGS, !FENCED);
        assertNotNull(unfenced.run(STEPS), "no token check");
    }

    @Test
    void onceFaultsEndSomebodyLeadsWithinALeaseTheSpreadAndSomePolls() throws IOException {
        for (int seed = 0; seed < 200; seed++) {
            LeaseModel model = model(seed, TIMINGS);
            model.run(300);
            assertTrue(model.somebodyMayActWithin(LEASE + LEASE / 3 + 3_000), "seed " + seed);
        }
    }
}
