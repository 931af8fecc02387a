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

/** Checks that servers and network of the emulator give the results that theory predicts. */
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

    /** Checks the mean wait in an M/M/c queue against the value of the Erlang C formula. */
    @ParameterizedTest
    @CsvSource({"1, 0.5", "1, 0.8", "2, 0.7", "4, 0.8"})
    void meanWaitMatchesErlangC(int cores, double utilization) {
        UniformRandomProvider random = new RandomStreams(5).stream("test");
        EmulatedServer server = server(cores, 1, 0);
        double serviceMicros = 10_000;
        double interarrivalMicros = serviceMicros / (cores * utilization);
        int count = 200_000;
        double atMicros = events.now();
        for (int i = 0; i < count; i++) {
            atMicros -= interarrivalMicros * Math.log(1 - random.nextDouble());
            double workMicros = -serviceMicros * Math.log(1 - random.nextDouble());
            events.scheduleAt((long) atMicros, () -> send(server, workMicros));
        }
        events.runUntil((long) atMicros + 100_000_000);
        double waitSumMicros = 0;
        for (int i = 0; i < count; i++) {
            waitSumMicros += doneAt.get(i) - done.get(i).startedAtMicros - done.get(i).workMicros;
        }
        double offeredLoad = cores * utilization;
        double sumOfTerms = 0;
        double term = 1;
        for (int k = 0; k < cores; k++) {
            sumOfTerms += term;
            term *= offeredLoad / (k + 1);
        }
        double waitProbability = term / (1 - utilization) / (sumOfTerms + term / (1 - utilization));
        double expectedMicros = waitProbability * serviceMicros / (cores * (1 - utilization));
        assertEquals(expectedMicros, waitSumMicros / count, 0.05 * expectedMicros);
    }

    /**
     * The work that a server completes after a cold start is the integral of its capacity. During
     * the slow start of 8 s, the server completes (initial share + 1) / 2 = 0.7 of the work of a
     * warm server. The first job has this amount of work, so the job ends after 8 s. The second job
     * has 1 s of work and ends 1 s later.
     */
    @Test
    void workAfterColdStartMatchesIntegralOfCapacity() {
        EmulatedServer server = server(1, 0.4, 8_000_000);
        server.start();
        long startedAtMicros = events.now();
        send(server, 0.7 * 8_000_000);
        send(server, 1_000_000);
        events.runUntil(startedAtMicros + 20_000_000);
        assertEquals(8_000_000.0, (double) (doneAt.get(0) - startedAtMicros), 2);
        assertEquals(9_000_000.0, (double) (doneAt.get(1) - startedAtMicros), 4);
    }

    /**
     * Checks that requests between the two zones are not served while one zone is cut off. Requests
     * within a zone are not affected.
     */
    @Test
    void requestsToOtherZoneAreLostOnlyDuringCut() throws Exception {
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
        SimulationResult result =
                new FleetSimulation(scenario, 1, BaselinePolicies.of("random")).run();
        for (int second = 0; second < 12; second++) {
            double lost = 1 - result.series().served()[second] / result.series().offered()[second];
            boolean cut = second >= 4 && second < 7;
            // The random policy sends half of the requests to the other zone, so half of the
            // requests are lost during the cut. A request that was sent just before the cut may
            // be lost as well.
            assertEquals(cut ? 0.5 : 0, lost, cut ? 0.15 : 0.02, "second " + second);
        }
    }
}
