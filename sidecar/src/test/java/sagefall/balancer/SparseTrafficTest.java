package sagefall.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import sagefall.balancer.api.AttemptOutcome;
import sagefall.balancer.api.AttemptResult;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.DeduplicationScope;
import sagefall.balancer.api.EndpointListKind;
import sagefall.balancer.api.FleetRules;
import sagefall.balancer.api.Idempotency;
import sagefall.balancer.api.Request;
import sagefall.balancer.api.ServiceLimits;

/** What hundreds of quiet sidecars change: each test names the failure that it stands for. */
class SparseTrafficTest {

    private static BalancerSettings fleet(
            int rank, int replicas, FleetRules rules, boolean warmKeys) {
        BalancerSettings defaults =
                RecordingActions.settings(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL);
        return new SettingsBuilder(defaults)
                .seed(1000 + rank)
                .rank(rank)
                .replicas(replicas)
                .rules(rules)
                .cachesKeys(warmKeys)
                .build();
    }

    private static FleetRules plain() {
        return new FleetRules(0.2, 10_000_000, 2_000_000, 10_000_000);
    }

    /**
     * 400 instances with a request each second: what all send a server in slow start is its share,
     * in any second.
     */
    @Test
    void manyQuietInstancesDoNotBurstAColdServer() {
        List<RecordingActions> all = new ArrayList<>();
        for (int rank = 0; rank < 400; rank++) {
            RecordingActions host = new RecordingActions(fleet(rank, 400, plain(), false), 20);
            all.add(host);
            for (int i = 0; i < 5; i++) {
                host.request("warm" + i);
                host.answer(0, AttemptResult.SERVED, 10_000, true);
            }
            host.balancer.onEndpointList(
                    host.now,
                    EndpointListKind.CHANGES,
                    List.of(RecordingActions.server(1, 0, host.now)));
        }
        int total = 0;
        for (int second = 0; second < 5; second++) {
            int cold = 0;
            for (RecordingActions host : all) {
                int before = host.sent.size();
                host.now += 900_000;
                host.request("cold" + second);
                cold += (int) host.sent.stream().skip(before).filter(s -> s.server() == 1).count();
                host.answer(0, AttemptResult.SERVED, 10_000, true);
            }
            // A warm server gets about 40 in a zone that all clients share, a cold one a fifth of
            // it and up.
            assertTrue(
                    cold <= 2.5 * 40 * (0.2 + 0.08 * (second + 1)),
                    "second " + second + ": " + cold);
            total += cold;
        }
        assertTrue(total > 10, "a cold server must get some: " + total);
    }

    /** Full connection tables cost the grown sites most: one of many sidecars keeps few servers. */
    @Test
    void oneOfManySidecarsUsesFewServers() {
        RecordingActions host = new RecordingActions(fleet(3, 400, plain(), false), 60);
        for (int i = 0; i < 300; i++) {
            host.now += 800_000;
            host.request("r" + i);
            host.answer(0, AttemptResult.SERVED, 20_000, true);
        }
        long servers = host.sent.stream().map(RecordingActions.Sent::server).distinct().count();
        assertTrue(servers <= 12, servers + " servers of 60");
    }

    /**
     * Dead idle connections: silence after an idle spell closes the connection, and long spells
     * end.
     */
    @Test
    void silenceAfterAnIdleSpellIsADeadConnection() {
        RecordingActions host = new RecordingActions(fleet(3, 400, plain(), false), 20);
        for (int i = 0; i < 40; i++) {
            host.request("warm" + i);
            host.answer(0, AttemptResult.SERVED, 20_000, true);
        }
        host.now += 3_000_000;
        host.request("silent");
        long server = host.sent.get(host.sent.size() - 1).server();
        host.now += 900_000;
        host.request("next");
        assertTrue(
                host.actions.stream()
                        .anyMatch(a -> a.startsWith("log WARN idle_connections_distrusted ")));
        assertTrue(
                host.actions.stream()
                        .noneMatch(
                                a ->
                                        a.startsWith(
                                                "log WARN endpoint_ejected endpoint="
                                                        + server
                                                        + " ")));
        host.answer(0, AttemptResult.SERVED, 20_000, true);
        host.now += 5_000_000;
        host.request("later");
        assertTrue(
                host.actions.stream().anyMatch(a -> a.startsWith("close ")),
                "the idle connection stays");
    }

    /**
     * A server that refuses new connections is not sick: no ejection, and it is left alone for a
     * while.
     */
    @Test
    void failedSetupOfAConnectionIsNoOutlier() {
        RecordingActions host = new RecordingActions(fleet(3, 400, plain(), false), 20);
        for (int i = 0; i < 6; i++) {
            host.request("r" + i);
            int last = host.sent.size();
            host.answer(0, AttemptResult.NO_CONNECTION, 1000, false);
            assertTrue(
                    host.sent.size() == last
                            || host.sent.get(last).server() != host.sent.get(last - 1).server());
        }
        assertTrue(
                host.actions.stream().noneMatch(a -> a.contains("ejected")),
                host.actions.toString());
    }

    /** Retry abuse on lakes-later: time-outs set by impatient clients got good servers ejected. */
    @Test
    void impatientClientsDoNotEjectServers() {
        RecordingActions host = new RecordingActions(fleet(3, 400, plain(), false), 20);
        for (int i = 0; i < 30; i++) {
            host.request("r" + i);
            host.answer(0, AttemptResult.TIMED_OUT, 20_000, false);
        }
        assertTrue(
                host.actions.stream().noneMatch(a -> a.contains("ejected")),
                host.actions.toString());
    }

    /**
     * Keys that servers remember go to the same server from every sidecar of a zone with the same
     * cells.
     */
    @Test
    void requestsOfAKeyGoToTheSameServer() {
        Set<Long> servers = new HashSet<>();
        for (int rank = 0; rank < 30; rank++) {
            RecordingActions host = new RecordingActions(fleet(rank, 400, plain(), true), 60);
            host.balancer.onRequest(
                    host.now, new Request("x", 0, 0, false, 77, host.now + 1_000_000, false));
            servers.add(host.sent.get(0).server());
        }
        assertEquals(1, servers.size());
    }

    /** An endpoint that left the list is used no longer, however often the list changes. */
    @Test
    void whatLeftTheListIsNotUsed() {
        RecordingActions host = new RecordingActions(fleet(0, 3, plain(), false), 6);
        for (int round = 0; round < 50; round++) {
            long id = 100L + round;
            host.balancer.onEndpointList(
                    host.now,
                    EndpointListKind.COMPLETE,
                    List.of(RecordingActions.server(id, 0, 0), RecordingActions.server(1, 0, 0)));
            host.request("r" + round);
            assertTrue(Set.of(id, 1L).contains(host.sent.get(host.sent.size() - 1).server()));
            host.answer(0, AttemptResult.SERVED, 1000, true);
        }
    }

    /**
     * A pick looks at few servers of a wide node, but at as many as it takes to find one with
     * capacity.
     */
    @Test
    void onlyServerWithCapacityOfManyIsFound() {
        BalancerSettings defaults = fleet(0, 3, plain(), false);
        RecordingActions host =
                new RecordingActions(
                        new SettingsBuilder(defaults)
                                .limits(
                                        new ServiceLimits(
                                                4, true, true, 1_000_000, 60_000_000, 10_000))
                                .build(),
                        200);
        for (int i = 0; i < 900; i++) {
            host.request("out" + i);
        }
        int full = host.sent.size();
        assertTrue(full < 900, "all were sent, so no server was full");
        for (int i = 0; i < 20; i++) {
            RecordingActions.Sent sent = host.sent.get(i);
            host.balancer.onAttemptOutcome(
                    host.now,
                    new AttemptOutcome(
                            sent.request(),
                            0,
                            sent.server(),
                            AttemptResult.CANCELLED,
                            1000,
                            true,
                            null));
            assertEquals(full + i + 1, host.sent.size());
            assertEquals(sent.server(), host.sent.get(full + i).server());
        }
    }
}
