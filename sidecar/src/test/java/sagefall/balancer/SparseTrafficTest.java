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
        BalancerSettings s =
                RecordingActions.settings(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL);
        return new BalancerSettings(
                1000 + rank,
                rank,
                replicas,
                0,
                s.zones(),
                s.classes(),
                s.tenants(),
                s.overQuotaWeight(),
                s.limits(),
                rules,
                s.loadReportSource(),
                false,
                warmKeys,
                1000);
    }

    private static FleetRules plain() {
        return new FleetRules(0.2, 10_000_000, 2_000_000, 10_000_000);
    }

    /**
     * 400 instances with a request each second: what all send a cold server is its share, in any
     * second.
     */
    @Test
    void manyQuietInstancesDoNotBurstAColdServer() {
        List<RecordingActions> all = new ArrayList<>();
        for (int rank = 0; rank < 400; rank++) {
            RecordingActions r = new RecordingActions(fleet(rank, 400, plain(), false), 20);
            all.add(r);
            for (int i = 0; i < 5; i++) {
                r.request("warm" + i);
                r.answer(0, AttemptResult.SERVED, 10_000, true);
            }
            r.choice.onEndpointList(
                    r.now, EndpointListKind.CHANGES, List.of(RecordingActions.server(1, 0, r.now)));
        }
        int total = 0;
        for (int second = 0; second < 5; second++) {
            int cold = 0;
            for (RecordingActions r : all) {
                int before = r.sent.size();
                r.now += 900_000;
                r.request("cold" + second);
                cold += (int) r.sent.stream().skip(before).filter(s -> s.server() == 1).count();
                r.answer(0, AttemptResult.SERVED, 10_000, true);
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
    void oneOfManyKeepsFewServers() {
        RecordingActions r = new RecordingActions(fleet(3, 400, plain(), false), 60);
        for (int i = 0; i < 300; i++) {
            r.now += 800_000;
            r.request("r" + i);
            r.answer(0, AttemptResult.SERVED, 20_000, true);
        }
        long servers = r.sent.stream().map(RecordingActions.Sent::server).distinct().count();
        assertTrue(servers <= 12, servers + " servers of 60");
    }

    /**
     * Dead idle connections: silence after an idle spell closes the connection, and long spells
     * end.
     */
    @Test
    void silenceAfterAnIdleSpellIsADeadConnection() {
        RecordingActions r = new RecordingActions(fleet(3, 400, plain(), false), 20);
        for (int i = 0; i < 40; i++) {
            r.request("warm" + i);
            r.answer(0, AttemptResult.SERVED, 20_000, true);
        }
        r.now += 3_000_000;
        r.request("silent");
        long server = r.sent.get(r.sent.size() - 1).server();
        r.now += 900_000;
        r.request("next");
        assertTrue(
                r.actions.stream()
                        .anyMatch(a -> a.startsWith("log WARN idle_connections_distrusted ")));
        assertTrue(
                r.actions.stream()
                        .noneMatch(
                                a ->
                                        a.startsWith(
                                                "log WARN endpoint_ejected endpoint="
                                                        + server
                                                        + " ")));
        r.answer(0, AttemptResult.SERVED, 20_000, true);
        r.now += 5_000_000;
        r.request("later");
        assertTrue(
                r.actions.stream().anyMatch(a -> a.startsWith("close ")),
                "the idle connection stays");
    }

    /**
     * A server that refuses new connections is not sick: no ejection, and it is left alone for a
     * while.
     */
    @Test
    void refusedConnectionIsNotAnOutlier() {
        RecordingActions r = new RecordingActions(fleet(3, 400, plain(), false), 20);
        for (int i = 0; i < 6; i++) {
            r.request("r" + i);
            int last = r.sent.size();
            r.answer(0, AttemptResult.NO_CONNECTION, 1000, false);
            assertTrue(
                    r.sent.size() == last
                            || r.sent.get(last).server() != r.sent.get(last - 1).server());
        }
        assertTrue(r.actions.stream().noneMatch(a -> a.contains("ejected")), r.actions.toString());
    }

    /** Retry abuse on lakes-later: time-outs set by impatient clients got good servers ejected. */
    @Test
    void impatientClientsDoNotEjectServers() {
        RecordingActions r = new RecordingActions(fleet(3, 400, plain(), false), 20);
        for (int i = 0; i < 30; i++) {
            r.request("r" + i);
            r.answer(0, AttemptResult.TIMED_OUT, 20_000, false);
        }
        assertTrue(r.actions.stream().noneMatch(a -> a.contains("ejected")), r.actions.toString());
    }

    /**
     * Keys that servers remember go to the same server from every sidecar of a zone with the same
     * cells.
     */
    @Test
    void keysMeetTheSameServer() {
        Set<Long> servers = new HashSet<>();
        for (int rank = 0; rank < 30; rank++) {
            RecordingActions r = new RecordingActions(fleet(rank, 400, plain(), true), 60);
            r.choice.onRequest(r.now, new Request("x", 0, 0, false, 77, r.now + 1_000_000, false));
            servers.add(r.sent.get(0).server());
        }
        assertEquals(1, servers.size());
    }

    /** What left the list is used no longer, however often the list changes. */
    @Test
    void whatLeftTheListIsNotUsed() {
        RecordingActions r = new RecordingActions(fleet(0, 3, plain(), false), 6);
        for (int round = 0; round < 50; round++) {
            long id = 100L + round;
            r.choice.onEndpointList(
                    r.now,
                    EndpointListKind.COMPLETE,
                    List.of(RecordingActions.server(id, 0, 0), RecordingActions.server(1, 0, 0)));
            r.request("r" + round);
            assertTrue(Set.of(id, 1L).contains(r.sent.get(r.sent.size() - 1).server()));
            r.answer(0, AttemptResult.SERVED, 1000, true);
        }
    }

    /**
     * A pick looks at few servers of a wide node, but at as many as it takes to find one with room.
     */
    @Test
    void theOnlyServerWithRoomOfManyIsFound() {
        BalancerSettings s = fleet(0, 3, plain(), false);
        RecordingActions r =
                new RecordingActions(
                        new BalancerSettings(
                                s.seed(),
                                0,
                                3,
                                0,
                                s.zones(),
                                s.classes(),
                                s.tenants(),
                                s.overQuotaWeight(),
                                new ServiceLimits(4, true, true, 1_000_000, 60_000_000, 10_000),
                                s.rules(),
                                s.loadReportSource(),
                                false,
                                false,
                                1000),
                        200);
        for (int i = 0; i < 900; i++) {
            r.request("out" + i);
        }
        int full = r.sent.size();
        assertTrue(full < 900, "all were sent, so no server was full");
        for (int i = 0; i < 20; i++) {
            RecordingActions.Sent sent = r.sent.get(i);
            r.choice.onAttemptOutcome(
                    r.now,
                    new AttemptOutcome(
                            sent.request(),
                            0,
                            sent.server(),
                            AttemptResult.CANCELLED,
                            1000,
                            true,
                            null));
            assertEquals(full + i + 1, r.sent.size());
            assertEquals(sent.server(), r.sent.get(full + i).server());
        }
    }
}
