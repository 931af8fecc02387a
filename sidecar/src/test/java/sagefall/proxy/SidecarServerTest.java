package sagefall.proxy;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import sagefall.balancer.api.AttemptOutcome;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.RejectionReason;
import sagefall.balancer.api.Request;
import sagefall.config.SidecarConfig;
import sagefall.config.SocketAddresses;
import sagefall.discovery.DiscoveryClient;
import sagefall.discovery.DiscoveryTimeouts;
import sagefall.discovery.EndpointList;
import sagefall.proxy.upstream.ConnectionPool;

/** A sidecar between real sockets. */
class SidecarServerTest extends SocketTest {

    @Test
    void answerIsForwardedUnchanged() throws Exception {
        ScriptedPeer server =
                server(
                        ScriptedPeer.answers(
                                "200 OK",
                                "Content-Type: text/x\r\nServer-Load: TEXT cpu=0.5\r\n",
                                "\u00ff\0b"));
        HttpMessages.Message answer = sidecar(server).client().book("slot=7", 2_000).answer();
        assertEquals(200, answer.status());
        assertEquals("\u00ff\0b", answer.body());
        assertEquals("text/x", answer.headers().get("Content-Type"));
        assertNull(answer.headers().get("Server-Load"));
        HttpMessages.Message sent = server.take().request();
        assertEquals("POST /book/k1?x=1 HTTP/1.1", sent.startLine());
        assertEquals("slot=7", sent.body());
        assertEquals(16, sent.headers().get("Request-Id").length());
        long forwarded = Long.parseLong(sent.headers().get("Request-Timeout-Ms"));
        assertTrue(forwarded > 1_000 && forwarded < 2_000, "forwarded " + forwarded);
    }

    @Test
    void idempotencyKeyIsForwarded() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.serves("ok"));
        String head = TestClient.head("POST", "/hold/k1", 2_000, "Idempotency-Key: abc\r\n", 2);
        assertEquals(200, sidecar(server).client().raw(head + "{}").answer().status());
        assertEquals("abc", server.take().request().headers().get("Idempotency-Key"));
    }

    /** Each of these may have run, so a request that is not idempotent fails and is not retried. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "HTTP/1.1 500 No\\r\\nContent-Length: 0\\r\\n\\r\\n | false",
                "HTTP/1.1 503 No\\r\\nContent-Length: 0\\r\\n\\r\\n | false",
                "HTTP/1.1 429 No\\r\\nContent-Length: 0\\r\\nNot-Started: 1\\r\\n\\r\\n | false",
                "HTTP/1.1 200 OK\\r\\nContent-Length: 9\\r\\n\\r\\nshort | true",
                "HTTP/1.1 200 OK\\r\\n"
                        + "Transfer-Encoding: chunked\\r\\n\\r\\n5\\r\\nshort\\r\\n | true",
                "HTTP/1.1 200 OK\\r\\nContent-Length: 65537\\r\\n\\r\\n | false",
                "no HTTP at all\\r\\n\\r\\n | false",
                "HTTP/1.1 200 OK\\r\\nno colon\\r\\nContent-Length: 2\\r\\n\\r\\nok | false",
                "HTTP/1.1 200 OK\\r\\n"
                        + "Content-Length: 2\\r\\nContent-Length: 3\\r\\n\\r\\nok | false",
                "HTTP/1.1 200 OK\\r\\nContent-Length: -1\\r\\n\\r\\n | false",
                "HTTP/1.1 200 OK\\r\\nContent-Length: 3000000000\\r\\n\\r\\n | false",
                "HTTP/1.1 200 OK\\r\\n"
                        + "Transfer-Encoding: chunked\\r\\nContent-Length: 2\\r\\n\\r\\n"
                        + "0\\r\\n\\r\\n | false",
                "HTTP/1.1 101 Other\\r\\n"
                        + "Upgrade: x\\r\\n\\r\\n"
                        + "HTTP/1.1 200 OK\\r\\nContent-Length: 0\\r\\n\\r\\n | false",
                "'' | true",
            })
    void requestThatMayHaveRunIsNotRetried(String text, boolean hangUp) throws Exception {
        ScriptedPeer.Script script =
                seen -> {
                    seen.raw(text.strip().replace("\\r", "\r").replace("\\n", "\n"));
                    if (hangUp) {
                        seen.socket().close();
                    }
                };
        ScriptedPeer one = server(script);
        ScriptedPeer two = server(script);
        HttpMessages.Message answer = sidecar(one, two).client().book("x", 1_000).answer();
        assertEquals(502, answer.status());
        assertEquals(1, one.receivedRequests.size() + two.receivedRequests.size());
    }

    @Test
    void requestThatWasNotStartedGoesToAnotherServer() throws Exception {
        for (String status : List.of("503 Full", "504 Over")) {
            ScriptedPeer one = server(ScriptedPeer.answers(status, "Not-Started: 1\r\n", ""));
            ScriptedPeer two = server(ScriptedPeer.answers(status, "Not-Started: 1\r\n", ""));
            ScriptedPeer.Script once =
                    seen -> {
                        one.script(ScriptedPeer.serves("second"));
                        two.script(ScriptedPeer.serves("second"));
                        seen.reply(status, "Not-Started: 1\r\n", "");
                    };
            one.script(once);
            two.script(once);
            assertEquals("second", sidecar(one, two).client().book("x", 2_000).answer().body());
            String id = one.take().request().headers().get("Request-Id");
            assertEquals(id, two.take().request().headers().get("Request-Id"));
        }
    }

    @Test
    void refusedConnectionAllowsAnotherServer() throws Exception {
        ScriptedPeer gone = server(ScriptedPeer.SILENT);
        gone.close();
        ScriptedPeer here = server(ScriptedPeer.serves("here"));
        SidecarHarness harness = sidecar(gone, here);
        for (int i = 0; i < 8; i++) {
            assertEquals("here", harness.client().book("x", 2_000).answer().body());
        }
    }

    @Test
    void noReachableServerIsARejectionWithRetryAfter() throws Exception {
        ScriptedPeer gone = server(ScriptedPeer.SILENT);
        gone.close();
        HttpMessages.Message answer = sidecar(gone).client().book("x", 300).answer();
        assertEquals(503, answer.status());
        assertTrue(Double.parseDouble(answer.headers().get("Retry-After")) > 0);
    }

    @Test
    void silentServerIsATimeOutBeforeTheDeadline() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.SILENT);
        long start = System.nanoTime();
        HttpMessages.Message answer = sidecar(server).client().book("x", 400).answer();
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
        assertEquals(504, answer.status());
        assertTrue(millis < 2_000, "answered after " + millis + " ms");
        assertEquals(1, server.receivedRequests.size());
        server.awaitEnd();
    }

    /**
     * Answers that come shortly before or after the deadline: each request gets one answer, and
     * always its own.
     */
    @Test
    void oneAnswerWhenOutcomesRace() throws Exception {
        ScriptedPeer server =
                server(
                        seen -> {
                            int late = seen.request().headers().get("Request-Id").hashCode() % 12;
                            seen.socket().setTcpNoDelay(true);
                            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(85 + late));
                            seen.reply("200 OK", "", seen.request().headers().get("Request-Id"));
                        });
        SidecarHarness harness = sidecar(server);
        TestClient client = harness.client();
        for (int i = 0; i < 30; i++) {
            String head = TestClient.head("GET", "/search/k", 100, "", 0);
            String id = head.replaceAll("(?s).*Request-Id: (\\w+).*", "$1");
            HttpMessages.Message answer = client.raw(head).answer();
            if (answer.status() == 200) {
                assertEquals(id, answer.body());
            } else {
                assertTrue(List.of(502, 503, 504).contains(answer.status()), answer.startLine());
            }
        }
        client.raw("GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        assertEquals(200, client.answer().status());
        client.assertClosed();
    }

    @Test
    void connectionIsReused() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.serves("ok"));
        TestClient client = sidecar(server).client();
        for (int i = 0; i < 5; i++) {
            assertEquals(200, client.search(2_000).answer().status());
            LockSupport.parkNanos(
                    TimeUnit.MICROSECONDS.toNanos(2 * ConnectionPool.REUSE_DELAY_MICROS));
        }
        assertEquals(1, server.accepted.get());
    }

    /**
     * A server may end an idle connection at any time; what is written to it afterwards would be
     * lost.
     */
    @Test
    void idleConnectionThatEndedIsNotUsed() throws Exception {
        ScriptedPeer server = server(seen -> seen.reply("200 OK", "", "ok"));
        TestClient client = sidecar(server).client();
        assertEquals(200, client.book("x", 2_000).answer().status());
        server.take().socket().close();
        server.awaitEnd();
        assertEquals(200, client.book("x", 2_000).answer().status());
        assertEquals(2, server.accepted.get());
    }

    @Test
    void clientThatLeavesEndsItsAttempt() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.SILENT);
        SidecarHarness harness = sidecar(server);
        TestClient client = harness.client().book("x", 30_000);
        Socket carrying = server.take().socket();
        client.close();
        server.awaitEnd();
        assertTrue(carrying.isClosed());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "nonsense | 400",
                "GET /nosuch/k HTTP/1.1;Request-Id: a;Tenant: acme;Request-Timeout-Ms: 9 | 400",
                "GET /search/k HTTP/1.1;Tenant: acme;Request-Timeout-Ms: 9 | 400",
                "GET /search/k HTTP/1.1;Request-Id: a;Request-Timeout-Ms: 9 | 400",
                "GET /search/k HTTP/1.1;Request-Id: a;Tenant: x;Request-Timeout-Ms: 9 | 400",
                "GET /search/k HTTP/1.1;Request-Id: a;Tenant: acme | 400",
                "GET /search/k HTTP/1.1;Request-Id: a;Tenant: acme;Request-Timeout-Ms: -5 | 400",
                "GET /search/k HTTP/1.1;Request-Id: a;Tenant: acme;Request-Timeout-Ms: 1e3 | 400",
                "GET /search/k HTTP/1.1;Request-Id: a;Request-Id: b;Tenant:"
                        + " acme;Request-Timeout-Ms: 9 | 400",
                "GET /book/k HTTP/1.1;Request-Id: a;Tenant: acme;Request-Timeout-Ms: 9 | 400",
                "POST /hold/k HTTP/1.1;Request-Id: a;Tenant: acme;Request-Timeout-Ms:"
                        + " 9;Content-Length: 0 | 400",
                "POST /book/k HTTP/1.1;Request-Id: a;Tenant: acme;Request-Timeout-Ms:"
                        + " 9;Content-Length: 65537 | 413",
            })
    void badRequestReachesNoServer(String text, int status) throws Exception {
        ScriptedPeer server = server(ScriptedPeer.serves("ok"));
        SidecarHarness harness = sidecar(server);
        TestClient client = harness.client().raw(text.replace(";", "\r\n") + "\r\n\r\n");
        assertEquals(status, client.answer().status());
        client.assertClosed();
        assertEquals(0, server.accepted.get());
        assertEquals(200, harness.client().search(2_000).answer().status());
    }

    @Test
    void requestIdInFlightIsRejected() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.SILENT);
        SidecarHarness harness = sidecar(server);
        String head = TestClient.head("GET", "/search/k", 5_000, "", 0);
        harness.client().raw(head);
        server.take();
        assertEquals(400, harness.client().raw(head).answer().status());
    }

    @Test
    void healthNeedsAServer() throws Exception {
        String health = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
        SidecarHarness harness = sidecar();
        assertEquals(503, harness.client().raw(health).answer().status());
        ScriptedPeer server = server(ScriptedPeer.serves("ok"));
        harness.publishEndpoints(2, SidecarHarness.list(2, true, "in_service", server));
        assertEquals(200, harness.client().raw(health).answer().status());
    }

    /**
     * An exception costs its own request the result, never the answer, and no other request
     * anything.
     */
    @Test
    void exceptionInTheBalancerIsAnsweredAndLogged() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.serves("ok"));
        SidecarHarness harness = harness(server);
        harness.start(
                (settings, actions) ->
                        new NoOpLoadBalancer() {
                            private boolean thrown;

                            @Override
                            public void onRequest(long nowMicros, Request request) {
                                if (!thrown) {
                                    thrown = true;
                                    throw new IllegalStateException("probe");
                                }
                                actions.reject(request.id(), 0, RejectionReason.ADMISSION);
                            }
                        });
        TestClient client = harness.client();
        assertEquals(500, client.search(2_000).answer().status());
        assertEquals(503, client.search(2_000).answer().status());
        String log = harness.log.toString(UTF_8);
        assertTrue(log.contains("ERROR request_aborted request="), log);
        assertTrue(
                log.contains(
                        " cause=\"java.lang.IllegalStateException: probe\" action=answered_500"),
                log);
    }

    /**
     * An event that an action causes at once is delivered after the call that the action is from.
     */
    @Test
    void balancerIsNotReEnteredFromItsOwnAction() throws Exception {
        SidecarHarness harness = harness();
        List<String> order = new ArrayList<>();
        harness.start(
                (settings, actions) ->
                        new NoOpLoadBalancer() {
                            @Override
                            public void onRequest(long nowMicros, Request request) {
                                order.add("request");
                                actions.send(request.id(), 1, 0, Long.MAX_VALUE);
                                order.add("sent to a server that no list names");
                            }

                            @Override
                            public void onAttemptOutcome(long nowMicros, AttemptOutcome outcome) {
                                order.add(outcome.result().toString());
                                actions.fail(outcome.requestId(), RejectionReason.MAX_ATTEMPTS);
                            }
                        });
        assertEquals(502, harness.client().search(2_000).answer().status());
        assertEquals(List.of("request", "sent to a server that no list names", "NOT_SENT"), order);
    }

    /** Past the limit a client takes the place of an idle one; descriptors never run out. */
    @Test
    void clientsPastTheLimitReplaceIdleOnes() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.serves("ok"));
        SidecarHarness harness = harnessOfFewSockets(server);
        harness.start();
        TestClient first = harness.client();
        assertEquals(200, first.search(5_000).answer().status());
        // Idle ones that came a moment ago are left alone, so that their first request can arrive.
        Thread.sleep(150);
        for (int i = 0; i < harness.config().maxClientConnections(); i++) {
            assertEquals(200, harness.client().search(5_000).answer().status());
        }
        first.assertClosed();
    }

    /** A request that the balancer never ends is answered by the sidecar, at its deadline. */
    @Test
    void requestThatTheBalancerForgetsIsAnsweredAndReported() throws Exception {
        SidecarHarness harness = harness();
        var left = new LinkedBlockingQueue<String>();
        harness.start(
                (settings, actions) ->
                        new NoOpLoadBalancer() {
                            @Override
                            public void onClientDisconnected(long nowMicros, String requestId) {
                                left.add(requestId);
                            }
                        });
        assertEquals(504, harness.client().search(200).answer().status());
        assertEquals(16, left.poll(10, TimeUnit.SECONDS).length());
    }

    /**
     * Where all are busy a new client waits, and takes the place of the next connection that is
     * answered.
     */
    @Test
    void clientPastTheLimitIsAcceptedAfterAnAnswer() throws Exception {
        SidecarHarness harness = harnessOfFewSockets();
        var inFlight = new LinkedBlockingQueue<String>();
        var actions = new AtomicReference<BalancerActions>();
        harness.start(
                (settings, balancerActions) -> {
                    actions.set(balancerActions);
                    return new NoOpLoadBalancer() {
                        @Override
                        public void onRequest(long nowMicros, Request request) {
                            inFlight.add(request.id());
                        }
                    };
                });
        int limit = harness.config().maxClientConnections();
        List<TestClient> clients = new ArrayList<>();
        String first = null;
        for (int i = 0; i < limit; i++) {
            clients.add(harness.client().search(30_000));
            String id = inFlight.poll(10, TimeUnit.SECONDS);
            first = i == 0 ? id : first;
        }
        for (int i = 0; i < 20; i++) {
            clients.add(harness.client().search(30_000));
        }
        assertNull(inFlight.poll(200, TimeUnit.MILLISECONDS));
        String refused = first;
        harness.loop.execute(() -> actions.get().reject(refused, 0, RejectionReason.ADMISSION));
        assertEquals(503, clients.get(0).answer().status());
        clients.get(0).assertClosed();
        assertEquals(16, inFlight.poll(10, TimeUnit.SECONDS).length());
        assertNull(inFlight.poll(200, TimeUnit.MILLISECONDS));
    }

    // ---- Discovery

    @Test
    void drainingServerGetsNoRequest() throws Exception {
        ScriptedPeer leaving = server(ScriptedPeer.serves("leaving"));
        ScriptedPeer staying = server(ScriptedPeer.serves("staying"));
        SidecarHarness harness = sidecar(leaving, staying);
        harness.publishEndpoints(2, SidecarHarness.list(2, false, "terminating", leaving));
        for (int i = 0; i < 20; i++) {
            assertEquals("staying", harness.client().search(2_000).answer().body());
        }
        assertEquals(0, leaving.receivedRequests.size());
    }

    @Test
    void serverMissingFromACompleteListGetsNoRequest() throws Exception {
        ScriptedPeer gone = server(ScriptedPeer.serves("gone"));
        ScriptedPeer staying = server(ScriptedPeer.serves("staying"));
        SidecarHarness harness = sidecar(gone, staying);
        harness.publishEndpoints(2, SidecarHarness.list(2, true, "in_service", staying));
        for (int i = 0; i < 20; i++) {
            assertEquals("staying", harness.client().search(2_000).answer().body());
        }
    }

    /** A watch that fails in any way keeps the old list, and is retried until it is answered. */
    @Test
    void watchIsRestored() throws Exception {
        ScriptedPeer old = server(ScriptedPeer.serves("old"));
        ScriptedPeer fresh = server(ScriptedPeer.serves("fresh"));
        SidecarHarness harness = sidecar(old);
        harness.discovery.take().socket().close();
        harness.discovery.take().reply("503 Busy", "", "");
        harness.discovery.take().reply("200 OK", "", "{\"rev\":2,\"all\":true,\"targets\":[{}]}");
        ReceivedRequest retry = harness.discovery.take();
        assertTrue(retry.request().startLine().contains("from=1&"), retry.request().startLine());
        assertEquals("old", harness.client().search(2_000).answer().body());
        harness.discovery.receivedRequests.add(retry);
        harness.publishEndpoints(3, SidecarHarness.list(3, true, "in_service", fresh));
        assertEquals("fresh", harness.client().search(2_000).answer().body());
    }

    @Test
    void silentDiscoveryIsGivenUp() throws Exception {
        ScriptedPeer silent = server(ScriptedPeer.SILENT);
        SidecarHarness harness = harness();
        var address = SocketAddresses.parse("127.0.0.1:" + silent.port());
        var failures = new LinkedBlockingQueue<String>();
        DiscoveryClient.Listener listener =
                new DiscoveryClient.Listener() {
                    @Override
                    public void listed(EndpointList list) {}

                    @Override
                    public void failed(String reason) {
                        failures.add(reason);
                    }
                };
        SidecarConfig config = harness.config();
        harness.loop.execute(
                () ->
                        new DiscoveryClient(
                                        harness.loop,
                                        address,
                                        config.endpointListCodec(),
                                        1,
                                        listener,
                                        line -> {},
                                        new DiscoveryTimeouts(50, 50))
                                .subscribe());
        assertEquals("no answer", failures.poll(10, TimeUnit.SECONDS));
        silent.awaitEnd();
    }

    // ---- Graceful shutdown

    @Test
    void requestsInFlightAreAnsweredDuringShutdown() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.SILENT);
        SidecarHarness harness = sidecar(server);
        TestClient busy = harness.client().book("x", 30_000);
        TestClient idle = harness.client();
        ReceivedRequest inFlight = server.take();
        var stopped = harness.stop();
        TestClient late = harness.client();
        late.healthCheck();
        assertEquals(503, late.answer().status());
        server.script(ScriptedPeer.serves("late"));
        assertEquals("late", harness.client().search(5_000).answer().body());
        idle.assertClosed();
        assertNotEquals(0, stopped.getCount());
        inFlight.reply("200 OK", "", "in flight");
        HttpMessages.Message answer = busy.answer();
        assertEquals("in flight", answer.body());
        assertEquals("close", answer.headers().get("Connection"));
        busy.assertClosed();
        assertTrue(stopped.await(10, TimeUnit.SECONDS));
    }
}
