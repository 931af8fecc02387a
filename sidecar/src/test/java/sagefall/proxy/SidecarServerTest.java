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

/** Tests a sidecar with clients, servers and discovery on real sockets. */
class SidecarServerTest extends SocketTest {

    @Test
    void responseIsForwardedWithoutTheLoadReport() throws Exception {
        ScriptedPeer server =
                server(
                        ScriptedPeer.respondsWith(
                                "200 OK",
                                "Content-Type: text/x\r\nServer-Load: TEXT cpu=0.5\r\n",
                                "\u00ff\0b"));
        HttpMessages.Message response =
                sidecar(server).client().book("slot=7", 2_000).readResponse();
        assertEquals(200, response.status());
        assertEquals("\u00ff\0b", response.body());
        assertEquals("text/x", response.headers().get("Content-Type"));
        assertNull(response.headers().get("Server-Load"));
        HttpMessages.Message received = server.take().request();
        assertEquals("POST /book/k1?x=1 HTTP/1.1", received.startLine());
        assertEquals("slot=7", received.body());
        assertEquals(16, received.headers().get("Request-Id").length());
        long forwarded = Long.parseLong(received.headers().get("Request-Timeout-Ms"));
        assertTrue(forwarded > 1_000 && forwarded < 2_000, "forwarded " + forwarded);
    }

    @Test
    void idempotencyKeyIsForwarded() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.respondsOk("ok"));
        String head = TestClient.head("POST", "/hold/k1", 2_000, "Idempotency-Key: abc\r\n", 2);
        assertEquals(200, sidecar(server).client().write(head + "{}").readResponse().status());
        assertEquals("abc", server.take().request().headers().get("Idempotency-Key"));
    }

    /**
     * The request is not idempotent and has possibly run when one of the given responses arrives.
     */
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
    void requestThatMayHaveRunIsNotRetried(String raw, boolean closesConnection) throws Exception {
        ScriptedPeer.Script script =
                seen -> {
                    seen.write(raw.strip().replace("\\r", "\r").replace("\\n", "\n"));
                    if (closesConnection) {
                        seen.socket().close();
                    }
                };
        ScriptedPeer one = server(script);
        ScriptedPeer two = server(script);
        HttpMessages.Message response = sidecar(one, two).client().book("x", 1_000).readResponse();
        assertEquals(502, response.status());
        assertEquals(1, one.receivedRequests.size() + two.receivedRequests.size());
    }

    @Test
    void requestThatWasNotStartedIsRetriedOnAnotherServer() throws Exception {
        for (String status : List.of("503 Full", "504 Over")) {
            ScriptedPeer one = server(ScriptedPeer.respondsWith(status, "Not-Started: 1\r\n", ""));
            ScriptedPeer two = server(ScriptedPeer.respondsWith(status, "Not-Started: 1\r\n", ""));
            ScriptedPeer.Script once =
                    seen -> {
                        one.script(ScriptedPeer.respondsOk("second"));
                        two.script(ScriptedPeer.respondsOk("second"));
                        seen.respond(status, "Not-Started: 1\r\n", "");
                    };
            one.script(once);
            two.script(once);
            assertEquals(
                    "second", sidecar(one, two).client().book("x", 2_000).readResponse().body());
            String id = one.take().request().headers().get("Request-Id");
            assertEquals(id, two.take().request().headers().get("Request-Id"));
        }
    }

    @Test
    void refusedConnectionIsRetriedOnAnotherServer() throws Exception {
        ScriptedPeer unreachable = server(ScriptedPeer.SILENT);
        unreachable.close();
        ScriptedPeer reachable = server(ScriptedPeer.respondsOk("here"));
        SidecarHarness harness = sidecar(unreachable, reachable);
        for (int i = 0; i < 8; i++) {
            assertEquals("here", harness.client().book("x", 2_000).readResponse().body());
        }
    }

    @Test
    void requestIsRejectedWithRetryAfterWhenNoServerIsReachable() throws Exception {
        ScriptedPeer unreachable = server(ScriptedPeer.SILENT);
        unreachable.close();
        HttpMessages.Message response = sidecar(unreachable).client().book("x", 300).readResponse();
        assertEquals(503, response.status());
        assertTrue(Double.parseDouble(response.headers().get("Retry-After")) > 0);
    }

    @Test
    void requestToASilentServerTimesOutAndIsNotRetried() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.SILENT);
        long start = System.nanoTime();
        HttpMessages.Message response = sidecar(server).client().book("x", 400).readResponse();
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
        assertEquals(504, response.status());
        assertTrue(millis < 2_000, "response after " + millis + " ms");
        assertEquals(1, server.receivedRequests.size());
        server.awaitConnectionEnd();
    }

    /**
     * Responses arrive shortly before or shortly after the deadline. Each request must receive
     * exactly one response, and never the response to another request.
     */
    @Test
    void requestNearItsDeadlineReceivesExactlyOneResponse() throws Exception {
        ScriptedPeer server =
                server(
                        seen -> {
                            int jitter = seen.request().headers().get("Request-Id").hashCode() % 12;
                            seen.socket().setTcpNoDelay(true);
                            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(85 + jitter));
                            seen.respond("200 OK", "", seen.request().headers().get("Request-Id"));
                        });
        SidecarHarness harness = sidecar(server);
        TestClient client = harness.client();
        for (int i = 0; i < 30; i++) {
            String head = TestClient.head("GET", "/search/k", 100, "", 0);
            String id = head.replaceAll("(?s).*Request-Id: (\\w+).*", "$1");
            HttpMessages.Message response = client.write(head).readResponse();
            if (response.status() == 200) {
                assertEquals(id, response.body());
            } else {
                assertTrue(
                        List.of(502, 503, 504).contains(response.status()), response.startLine());
            }
        }
        client.write("GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        assertEquals(200, client.readResponse().status());
        client.assertClosed();
    }

    @Test
    void idleServerConnectionIsReusedForTheNextRequest() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.respondsOk("ok"));
        TestClient client = sidecar(server).client();
        for (int i = 0; i < 5; i++) {
            assertEquals(200, client.search(2_000).readResponse().status());
            // A connection may be reused only after INITIAL_REUSE_DELAY_MICROS since its last
            // response.
            LockSupport.parkNanos(
                    TimeUnit.MICROSECONDS.toNanos(2 * ConnectionPool.INITIAL_REUSE_DELAY_MICROS));
        }
        assertEquals(1, server.accepted.get());
    }

    /**
     * A server may close an idle connection at any time. A request that the sidecar writes to a
     * closed connection is lost.
     */
    @Test
    void closedIdleConnectionIsNotReused() throws Exception {
        ScriptedPeer server = server(seen -> seen.respond("200 OK", "", "ok"));
        TestClient client = sidecar(server).client();
        assertEquals(200, client.book("x", 2_000).readResponse().status());
        server.take().socket().close();
        server.awaitConnectionEnd();
        assertEquals(200, client.book("x", 2_000).readResponse().status());
        assertEquals(2, server.accepted.get());
    }

    @Test
    void clientDisconnectEndsTheAttempt() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.SILENT);
        SidecarHarness harness = sidecar(server);
        TestClient client = harness.client().book("x", 30_000);
        Socket attemptSocket = server.take().socket();
        client.close();
        server.awaitConnectionEnd();
        assertTrue(attemptSocket.isClosed());
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
    void badRequestIsNotForwarded(String text, int status) throws Exception {
        ScriptedPeer server = server(ScriptedPeer.respondsOk("ok"));
        SidecarHarness harness = sidecar(server);
        TestClient client = harness.client().write(text.replace(";", "\r\n") + "\r\n\r\n");
        assertEquals(status, client.readResponse().status());
        client.assertClosed();
        assertEquals(0, server.accepted.get());
        assertEquals(200, harness.client().search(2_000).readResponse().status());
    }

    @Test
    void requestWithTheIdOfARequestInFlightIsRejected() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.SILENT);
        SidecarHarness harness = sidecar(server);
        String head = TestClient.head("GET", "/search/k", 5_000, "", 0);
        harness.client().write(head);
        server.take();
        assertEquals(400, harness.client().write(head).readResponse().status());
    }

    @Test
    void healthCheckFailsIfThereIsNoEndpoint() throws Exception {
        String health = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
        SidecarHarness harness = sidecar();
        assertEquals(503, harness.client().write(health).readResponse().status());
        ScriptedPeer server = server(ScriptedPeer.respondsOk("ok"));
        harness.publishEndpoints(2, SidecarHarness.list(2, true, "in_service", server));
        assertEquals(200, harness.client().write(health).readResponse().status());
    }

    /**
     * The client whose request caused the exception receives the response 500. Other requests are
     * not affected.
     */
    @Test
    void exceptionInTheBalancerIsReportedAs500AndLogged() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.respondsOk("ok"));
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
        assertEquals(500, client.search(2_000).readResponse().status());
        assertEquals(503, client.search(2_000).readResponse().status());
        String log = harness.log.toString(UTF_8);
        assertTrue(log.contains("ERROR request_aborted request="), log);
        assertTrue(
                log.contains(
                        " cause=\"java.lang.IllegalStateException: probe\" action=answered_500"),
                log);
    }

    /**
     * An action may cause an event immediately. The sidecar delivers that event only after the
     * balancer has handled the current event.
     */
    @Test
    void balancerIsNotReenteredFromItsOwnAction() throws Exception {
        SidecarHarness harness = harness();
        List<String> order = new ArrayList<>();
        harness.start(
                (settings, actions) ->
                        new NoOpLoadBalancer() {
                            @Override
                            public void onRequest(long nowMicros, Request request) {
                                order.add("request");
                                actions.send(request.id(), 1, 0, Long.MAX_VALUE);
                                order.add("sent to an unlisted endpoint");
                            }

                            @Override
                            public void onAttemptOutcome(long nowMicros, AttemptOutcome outcome) {
                                order.add(outcome.result().toString());
                                actions.fail(outcome.requestId(), RejectionReason.MAX_ATTEMPTS);
                            }
                        });
        assertEquals(502, harness.client().search(2_000).readResponse().status());
        assertEquals(List.of("request", "sent to an unlisted endpoint", "NOT_SENT"), order);
    }

    /** At the limit, a new connection replaces an idle one, so that descriptors never run out. */
    @Test
    void connectionsBeyondTheLimitReplaceIdleOnes() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.respondsOk("ok"));
        SidecarHarness harness = harnessWithFewSockets(server);
        harness.start();
        TestClient first = harness.client();
        assertEquals(200, first.search(5_000).readResponse().status());
        // A connection is not replaced during the first 100 ms after it was accepted, so that its
        // first request can arrive. This sleep exceeds the 100 ms.
        Thread.sleep(150);
        for (int i = 0; i < harness.config().maxClientConnections(); i++) {
            assertEquals(200, harness.client().search(5_000).readResponse().status());
        }
        first.assertClosed();
    }

    /** At the deadline, the sidecar completes a request that the balancer has not completed. */
    @Test
    void uncompletedRequestTimesOutAndIsReportedToTheBalancerAsDisconnected() throws Exception {
        SidecarHarness harness = harness();
        var disconnected = new LinkedBlockingQueue<String>();
        harness.start(
                (settings, actions) ->
                        new NoOpLoadBalancer() {
                            @Override
                            public void onClientDisconnected(long nowMicros, String requestId) {
                                disconnected.add(requestId);
                            }
                        });
        assertEquals(504, harness.client().search(200).readResponse().status());
        assertEquals(16, disconnected.poll(10, TimeUnit.SECONDS).length());
    }

    /**
     * If all connections have a request in flight, a new client waits. When a request completes,
     * the sidecar closes the connection of the completed request and accepts the connection of a
     * waiting client.
     */
    @Test
    void clientBeyondTheLimitIsAcceptedAfterAResponse() throws Exception {
        SidecarHarness harness = harnessWithFewSockets();
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
        String rejected = first;
        harness.loop.execute(() -> actions.get().reject(rejected, 0, RejectionReason.ADMISSION));
        assertEquals(503, clients.get(0).readResponse().status());
        clients.get(0).assertClosed();
        assertEquals(16, inFlight.poll(10, TimeUnit.SECONDS).length());
        assertNull(inFlight.poll(200, TimeUnit.MILLISECONDS));
    }

    // ---- Discovery

    @Test
    void drainingServerReceivesNoRequest() throws Exception {
        ScriptedPeer leaving = server(ScriptedPeer.respondsOk("leaving"));
        ScriptedPeer staying = server(ScriptedPeer.respondsOk("staying"));
        SidecarHarness harness = sidecar(leaving, staying);
        harness.publishEndpoints(2, SidecarHarness.list(2, false, "terminating", leaving));
        for (int i = 0; i < 20; i++) {
            assertEquals("staying", harness.client().search(2_000).readResponse().body());
        }
        assertEquals(0, leaving.receivedRequests.size());
    }

    @Test
    void serverMissingFromACompleteListReceivesNoRequest() throws Exception {
        ScriptedPeer removed = server(ScriptedPeer.respondsOk("removed"));
        ScriptedPeer staying = server(ScriptedPeer.respondsOk("staying"));
        SidecarHarness harness = sidecar(removed, staying);
        harness.publishEndpoints(2, SidecarHarness.list(2, true, "in_service", staying));
        for (int i = 0; i < 20; i++) {
            assertEquals("staying", harness.client().search(2_000).readResponse().body());
        }
    }

    /**
     * After a failed watch, the old endpoint list stays valid. The sidecar retries the watch until
     * the watch succeeds.
     */
    @Test
    void failedWatchIsRetried() throws Exception {
        ScriptedPeer old = server(ScriptedPeer.respondsOk("old"));
        ScriptedPeer fresh = server(ScriptedPeer.respondsOk("fresh"));
        SidecarHarness harness = sidecar(old);
        harness.discovery.take().socket().close();
        harness.discovery.take().respond("503 Busy", "", "");
        harness.discovery.take().respond("200 OK", "", "{\"rev\":2,\"all\":true,\"targets\":[{}]}");
        ReceivedRequest retry = harness.discovery.take();
        assertTrue(retry.request().startLine().contains("from=1&"), retry.request().startLine());
        assertEquals("old", harness.client().search(2_000).readResponse().body());
        // Puts the discovery request back, because publishEndpoints takes it from the queue.
        harness.discovery.receivedRequests.add(retry);
        harness.publishEndpoints(3, SidecarHarness.list(3, true, "in_service", fresh));
        assertEquals("fresh", harness.client().search(2_000).readResponse().body());
    }

    @Test
    void requestToSilentDiscoveryTimesOut() throws Exception {
        ScriptedPeer silent = server(ScriptedPeer.SILENT);
        SidecarHarness harness = harness();
        var address = SocketAddresses.parse("127.0.0.1:" + silent.port());
        var failures = new LinkedBlockingQueue<String>();
        DiscoveryClient.Listener listener =
                new DiscoveryClient.Listener() {
                    @Override
                    public void onEndpointList(EndpointList list) {}

                    @Override
                    public void onFailure(String reason) {
                        failures.add(reason);
                    }
                };
        SidecarConfig config = harness.config();
        harness.loop.execute(
                () ->
                        new DiscoveryClient(
                                        harness.loop,
                                        address,
                                        SidecarHarness.bufferMemory(),
                                        config.endpointListCodec(),
                                        1,
                                        listener,
                                        line -> {},
                                        new DiscoveryTimeouts(50, 50))
                                .subscribe());
        assertEquals("no response", failures.poll(10, TimeUnit.SECONDS));
        silent.awaitConnectionEnd();
    }

    // ---- Graceful shutdown

    @Test
    void requestsInFlightCompleteDuringShutdown() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.SILENT);
        SidecarHarness harness = sidecar(server);
        TestClient busy = harness.client().book("x", 30_000);
        TestClient idle = harness.client();
        ReceivedRequest inFlight = server.take();
        var stopped = harness.stop();
        TestClient late = harness.client();
        late.healthCheck();
        assertEquals(503, late.readResponse().status());
        server.script(ScriptedPeer.respondsOk("late"));
        assertEquals("late", harness.client().search(5_000).readResponse().body());
        idle.assertClosed();
        assertNotEquals(0, stopped.getCount());
        inFlight.respond("200 OK", "", "in flight");
        HttpMessages.Message response = busy.readResponse();
        assertEquals("in flight", response.body());
        assertEquals("close", response.headers().get("Connection"));
        busy.assertClosed();
        assertTrue(stopped.await(10, TimeUnit.SECONDS));
    }
}
