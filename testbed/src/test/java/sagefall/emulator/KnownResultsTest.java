package sagefall.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import sagefall.policy.BaselinePolicies;
import sagefall.scenario.Scenario;

/** Parts of the emulator against results that are known from theory. */
class KnownResultsTest {

    private final EventQueue events = new EventQueue();
    private final List<EmulatedAttempt> done = new ArrayList<>();
    private final List<Long> doneAt = new ArrayList<>();
    private final EmulatedSidecar sidecar = new EmulatedSidecar(null, 0, 0);

    private EmulatedServer server(int cores, double initialCapacityShare, long slowStartMicros) {
        return new EmulatedServer(
                new ServerIdentity(1, 0, 0),
                new ServerSpec(
                        0,
                        cores,
                        1,
                        cores,
                        1_000_000,
                        0,
                        1e9,
                        initialCapacityShare,
                        slowStartMicros,
                        false,
                        0,
                        1,
                        0,
                        100,
                        0,
                        0,
                        0,
                        0,
                        1000),
                events,
                new SharedSlowdown(),
                new ServerListener() {
                    @Override
                    public void onJobDone(Job job) {
                        done.add((EmulatedAttempt) job);
                        doneAt.add(events.now());
                    }

                    @Override
                    public void onJobAborted(Job job) {}

                    @Override
                    public void onSlowStartOverload(EmulatedServer server, double informedShare) {}
                });
    }

    private void send(EmulatedServer server, double workMicros) {
        EmulatedAttempt attempt = new EmulatedAttempt(null, sidecar, 0, server, events.now());
        attempt.workMicros = workMicros;
        attempt.remainingMicros = workMicros;
        assertTrue(server.accept(attempt));
    }

    /** M/M/c: the mean wait is Erlang's C formula's. */
    @ParameterizedTest
    @CsvSource({"1, 0.5", "1, 0.8", "2, 0.7", "4, 0.8"})
    void queueingTimesMatchErlangC(int c, double use) {
        UniformRandomProvider random = new RandomStreams(5).stream("test");
        EmulatedServer server = server(c, 1, 0);
        double service = 10_000;
        double between = service / (c * use);
        int count = 200_000;
        double at = events.now();
        for (int i = 0; i < count; i++) {
            at -= between * Math.log(1 - random.nextDouble());
            double work = -service * Math.log(1 - random.nextDouble());
            events.scheduleAt((long) at, () -> send(server, work));
        }
        events.runUntil((long) at + 100_000_000);
        double sum = 0;
        for (int i = 0; i < count; i++) {
            sum += doneAt.get(i) - done.get(i).startedAtMicros - done.get(i).workMicros;
        }
        double load = c * use;
        double inverse = 0;
        double term = 1;
        for (int k = 0; k < c; k++) {
            inverse += term;
            term *= load / (k + 1);
        }
        double queued = term / (1 - use) / (inverse + term / (1 - use));
        double expected = queued * service / (c * (1 - use));
        assertEquals(expected, sum / count, 0.05 * expected);
    }

    /**
     * A cold server's work is the integral of its ramp: (from + 1) / 2 of the time it is cold, then
     * all.
     */
    @Test
    void slowStartDoesTheWorkOfItsRamp() {
        EmulatedServer server = server(1, 0.4, 8_000_000);
        server.start();
        long started = events.now();
        send(server, 0.7 * 8_000_000);
        send(server, 1_000_000);
        events.runUntil(started + 20_000_000);
        assertEquals(8_000_000.0, (double) (doneAt.get(0) - started), 2);
        assertEquals(9_000_000.0, (double) (doneAt.get(1) - started), 4);
    }

    /**
     * While a zone is cut off nothing is answered across the cut, and requests within the zones are
     * not affected.
     */
    @Test
    void cutLossesMatchItsDuration() throws Exception {
        Scenario scenario =
                Scenario.read(
                        "cut.toml",
                        """
                        name = "cut"
                        seconds = 12
                        [fleet]
                        sidecars = 2
                        servers = 6
                        zones = ["a", "b"]
                        server_skew = 0
                        [load]
                        use = 0.1
                        zone_skew = 0
                        unlike = 0
                        [clients]
                        retries = 0
                        [service]
                        attempts = 1
                        distribution = "constant"
                        work_ms = 5
                        [[kind]]
                        name = "one"
                        pause_ms = 0
                        errors = 0
                        [[fault]]
                        kind = "cut_zone"
                        zone = "b"
                        at_s = 4
                        for_s = 3
                        """,
                        List.of());
        SimulationResult r = new FleetSimulation(scenario, 1, BaselinePolicies.of("random")).run();
        for (int second = 0; second < 12; second++) {
            double lost = 1 - r.series().served()[second] / r.series().offered()[second];
            boolean cut = second >= 4 && second < 7;
            // Random choice sends half across; a request just before the cut may still be on its
            // way.
            assertEquals(cut ? 0.5 : 0, lost, cut ? 0.15 : 0.02, "second " + second);
        }
    }
}
