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

/**
 * Checks the decisions of a sidecar that sends few requests per second in a large fleet, or has a
 * large endpoint list.
 */
class SparseTrafficTest {

    private static BalancerSettings fleetSettings(
            int rank, int replicas, FleetRules rules, boolean cachesKeys) {
        BalancerSettings defaults =
                RecordingActions.settings(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL);
        return new SettingsBuilder(defaults)
                .seed(1000 + rank)
                .rank(rank)
                .replicas(replicas)
                .rules(rules)
                .cachesKeys(cachesKeys)
                .build();
    }

    private static FleetRules defaultRules() {
        return new FleetRules(0.2, 10_000_000, 2_000_000, 10_000_000);
    }

    /**
     * Each of 400 instances sends about one request per second. In every second, all instances
     * together must send a server in slow start at most 2.5 times its share of the requests.
     */
    @Test
    void manyInstancesWithFewRequestsDoNotOverloadAColdServer() {
        List<RecordingActions> instances = new ArrayList<>();
        for (int rank = 0; rank < 400; rank++) {
            RecordingActions host =
                    new RecordingActions(fleetSettings(rank, 400, defaultRules(), false), 20);
            instances.add(host);
            for (int i = 0; i < 5; i++) {
                host.request("warm" + i);
                host.endLastAttempt(0, AttemptResult.SERVED, 10_000, true);
            }
            host.balancer.onEndpointList(
                    host.now,
                    EndpointListKind.CHANGES,
                    List.of(RecordingActions.server(1, 0, host.now)));
        }
        int total = 0;
        for (int second = 0; second < 5; second++) {
            int cold = 0;
            for (RecordingActions host : instances) {
                int before = host.sent.size();
                host.now += 900_000;
                host.request("cold" + second);
                cold += (int) host.sent.stream().skip(before).filter(s -> s.server() == 1).count();
                host.endLastAttempt(0, AttemptResult.SERVED, 10_000, true);
            }
            // All 400 instances are in one zone, which has 10 of the 20 servers. So together they
            // send each server that is not cold about 40 requests per second. The share of a cold
            // server starts at 0.2 and grows by 0.08 per second, since it reaches 1 after 10 s.
            assertTrue(
                    cold <= 2.5 * 40 * (0.2 + 0.08 * (second + 1)),
                    "second " + second + ": " + cold);
            total += cold;
        }
        assertTrue(total > 10, "requests sent to the cold server: " + total);
    }

    /**
     * Each sidecar of a large fleet should use few servers, since full connection tables at the
     * servers are the largest cost of a large fleet.
     */
    @Test
    void sidecarUsesFewServersIfThereAreManySidecars() {
        RecordingActions host =
                new RecordingActions(fleetSettings(3, 400, defaultRules(), false), 60);
        for (int i = 0; i < 300; i++) {
            host.now += 800_000;
            host.request("r" + i);
            host.endLastAttempt(0, AttemptResult.SERVED, 20_000, true);
        }
        long servers = host.sent.stream().map(RecordingActions.Sent::server).distinct().count();
        assertTrue(servers <= 12, servers + " servers of 60");
    }

    /**
     * A missing response on a connection that was idle for long is attributed to the connection,
     * not to the server. So the server is not ejected. Other connections that have been idle for
     * long are no longer trusted, and are closed before the next attempt.
     */
    @Test
    void missingResponseOnALongIdleConnectionClosesIdleConnections() {
        RecordingActions host =
                new RecordingActions(fleetSettings(3, 400, defaultRules(), false), 20);
        for (int i = 0; i < 40; i++) {
            host.request("warm" + i);
            host.endLastAttempt(0, AttemptResult.SERVED, 20_000, true);
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
        host.endLastAttempt(0, AttemptResult.SERVED, 20_000, true);
        host.now += 5_000_000;
        host.request("later");
        assertTrue(
                host.actions.stream().anyMatch(a -> a.startsWith("close ")),
                "the idle connection is not closed");
    }

    /** A server that refuses new connections is not ejected. A retry is sent to another server. */
    @Test
    void failedConnectionSetupDoesNotEjectTheServer() {
        RecordingActions host =
                new RecordingActions(fleetSettings(3, 400, defaultRules(), false), 20);
        for (int i = 0; i < 6; i++) {
            host.request("r" + i);
            int last = host.sent.size();
            host.endLastAttempt(0, AttemptResult.NO_CONNECTION, 1000, false);
            assertTrue(
                    host.sent.size() == last
                            || host.sent.get(last).server() != host.sent.get(last - 1).server());
        }
        assertTrue(
                host.actions.stream().noneMatch(a -> a.contains("ejected")),
                host.actions.toString());
    }

    /** Healthy servers used to be ejected because clients retried with very short timeouts. */
    @Test
    void shortClientTimeoutsDoNotEjectServers() {
        RecordingActions host =
                new RecordingActions(fleetSettings(3, 400, defaultRules(), false), 20);
        for (int i = 0; i < 30; i++) {
            host.request("r" + i);
            host.endLastAttempt(0, AttemptResult.TIMED_OUT, 20_000, false);
        }
        assertTrue(
                host.actions.stream().noneMatch(a -> a.contains("ejected")),
                host.actions.toString());
    }

    /**
     * Servers cache data by key. So all sidecars with the same zone and the same cells should send
     * the requests with one key to one server.
     */
    @Test
    void requestsWithOneKeyAreSentToOneServer() {
        Set<Long> servers = new HashSet<>();
        for (int rank = 0; rank < 30; rank++) {
            RecordingActions host =
                    new RecordingActions(fleetSettings(rank, 400, defaultRules(), true), 60);
            host.balancer.onRequest(
                    host.now, new Request("x", 0, 0, false, 77, host.now + 1_000_000, false));
            servers.add(host.sent.get(0).server());
        }
        assertEquals(1, servers.size());
    }

    /**
     * Each of 50 successive endpoint lists names server 1 and one new server. A request must be
     * sent to one of the two servers of the current list.
     */
    @Test
    void removedEndpointIsSentNoRequests() {
        RecordingActions host = new RecordingActions(fleetSettings(0, 3, defaultRules(), false), 6);
        for (int round = 0; round < 50; round++) {
            long id = 100L + round;
            host.balancer.onEndpointList(
                    host.now,
                    EndpointListKind.COMPLETE,
                    List.of(RecordingActions.server(id, 0, 0), RecordingActions.server(1, 0, 0)));
            host.request("r" + round);
            assertTrue(Set.of(id, 1L).contains(host.sent.get(host.sent.size() - 1).server()));
            host.endLastAttempt(0, AttemptResult.SERVED, 1000, true);
        }
    }

    /**
     * The picker usually examines only some endpoints of a large node of the subset tree. It has to
     * continue until it finds an endpoint with capacity.
     */
    @Test
    void serverWithCapacityIsFoundAmongManyServersAtTheirLimit() {
        BalancerSettings defaults = fleetSettings(0, 3, defaultRules(), false);
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
        assertTrue(full < 900, "all requests were sent, so no server was at its limit");
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
