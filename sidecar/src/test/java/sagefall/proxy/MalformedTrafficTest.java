package sagefall.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import sagefall.balancer.api.AttemptOutcome;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.EndpointListKind;
import sagefall.balancer.api.ListedEndpoint;
import sagefall.balancer.api.Request;
import sagefall.http.HttpClientConnection;

/**
 * Tests the sidecar with servers that send more than one response and with clients that send
 * malformed requests.
 */
class MalformedTrafficTest extends SocketTest {

    private static final String RESPONSE_HEAD = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";

    /** Sends the second request while it handles the outcome of the first request's attempt. */
    private static final class ChainingBalancer extends NoOpLoadBalancer {
        private final BalancerActions actions;
        private final List<String> requestIds = new ArrayList<>();
        private long endpoint;

        ChainingBalancer(BalancerActions actions) {
            this.actions = actions;
        }

        @Override
        public void onEndpointList(
                long nowMicros, EndpointListKind kind, List<ListedEndpoint> list) {
            if (!list.isEmpty()) {
                endpoint = list.get(0).id();
            }
        }

        @Override
        public void onRequest(long nowMicros, Request request) {
            requestIds.add(request.id());
            if (requestIds.size() == 1) {
                actions.send(request.id(), endpoint, 0, Long.MAX_VALUE);
            }
        }

        @Override
        public void onAttemptOutcome(long nowMicros, AttemptOutcome outcome) {
            if (requestIds.size() == 2 && outcome.requestId().equals(requestIds.get(0))) {
                actions.send(requestIds.get(1), endpoint, 0, Long.MAX_VALUE);
            }
        }
    }

    /**
     * Guards against a fault in which bytes that directly followed a response, for example a second
     * response, were treated as the response to the next request.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                RESPONSE_HEAD + "mine",
                RESPONSE_HEAD + "copy",
                "noise",
                "noise\r\n\r\n",
                "HTTP/1.1 200 OK\r\n"
            })
    void bytesAfterAResponseAreNotTakenForTheNextResponse(String surplus) throws Exception {
        ScriptedPeer server = server(ScriptedPeer.SILENT);
        SidecarHarness harness = harness(server);
        harness.start((settings, actions) -> new ChainingBalancer(actions));
        TestClient first = harness.client().search(1_000);
        ReceivedRequest received = server.take();
        TestClient second = harness.client().search(5_000);
        // The event loop reads the connections in order. When the sidecar has rejected this
        // malformed request, it has read the second request.
        assertEquals(400, harness.client().write("x\r\n\r\n").readResponse().status());
        received.write(RESPONSE_HEAD + "mine" + surplus);
        server.take().respond("200 OK", "", "other");
        assertEquals("other", second.readResponse().body());
        HttpMessages.Message firstResponse = first.readResponse();
        if (surplus.equals(RESPONSE_HEAD + "mine")) {
            assertEquals("mine", firstResponse.body());
        } else {
            assertEquals(504, firstResponse.status());
        }
    }

    /**
     * Guards against a fault in which a response whose length is too small was served cut short.
     * The request may have run, so only its idempotency permits another attempt.
     */
    @Test
    void responseWhoseLengthIsTooSmallIsAFailedAttempt() throws Exception {
        ScriptedPeer server = server(received -> received.write(RESPONSE_HEAD + "mine and more"));
        SidecarHarness harness = sidecar(server);
        assertEquals(502, harness.client().book("x", 2_000).readResponse().status());
        assertEquals(1, server.receivedRequests.size());
    }

    @Test
    void idempotentRequestIsRetriedAfterAResponseWhoseLengthIsTooSmall() throws Exception {
        AtomicInteger attempts = new AtomicInteger();
        ScriptedPeer.Script script =
                received -> {
                    if (attempts.incrementAndGet() == 1) {
                        received.write(RESPONSE_HEAD + "mine and more");
                    } else {
                        received.respond("200 OK", "", "whole");
                    }
                };
        SidecarHarness harness = sidecar(server(script), server(script));
        assertEquals("whole", harness.client().search(5_000).readResponse().body());
        assertEquals(2, attempts.get());
    }

    @Test
    void byteFromTheServerClosesAnIdleConnection() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.respondsOk("ok"));
        assertEquals(200, sidecar(server).client().search(2_000).readResponse().status());
        server.take().write("x");
        server.awaitConnectionEnd();
    }

    @Test
    void informationalResponsesAndAnInvalidLoadReportAreIgnored() throws Exception {
        ScriptedPeer server =
                server(
                        seen -> {
                            seen.write(
                                    "HTTP/1.1 103 Early\r\n"
                                            + "Link: x\r\n\r\n"
                                            + "HTTP/1.1 102 On it\r\n\r\n");
                            seen.respond(
                                    "200 OK",
                                    "Server-Load: {\r\nServer-Load: TEXT cpu=0.5\r\n",
                                    "ok");
                        });
        assertEquals("ok", sidecar(server).client().book("x", 2_000).readResponse().body());
    }

    /** The end of each given request is ambiguous, so the sidecar must not forward the request. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 1\r\n\r\nxx",
                "Content-Length: 1\r\n\r\nxPOST /book/k HTTP/1.1\r\n",
                "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx",
                "Content-Length: 1\r\nContent-Length: 2\r\n\r\nx",
                "Content-Length: 1, 1\r\n\r\nx",
                "Content-Length: -1\r\n\r\n",
                "Content-Length: +1\r\n\r\nx",
                "Content-Length: 99999999999999999999\r\n\r\n",
                "Content-Length: 1\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n"
                        + "0\r\n\r\n"
                        + "POST /book/k HTTP/1.1\r\n",
                "Transfer-Encoding: gzip, chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
                "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
                "Transfer-Encoding: identity\r\n\r\n",
                "no colon\r\n\r\n",
            })
    void requestWithAnAmbiguousEndIsRejected(String rest) throws Exception {
        ScriptedPeer server = server(ScriptedPeer.respondsOk("ok"));
        TestClient client = sidecar(server).client();
        String head = TestClient.head("POST", "/book/k1", 2_000, "", 0);
        client.write(head.substring(0, head.length() - 2) + rest);
        assertEquals(400, client.readResponse().status());
        client.assertClosed();
        assertTrue(server.receivedRequests.isEmpty());
    }

    /** The sidecar rejects the request and cancels its attempt. */
    @Test
    void requestInFlightIsRejectedWhenMoreBytesArrive() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.SILENT);
        TestClient client = sidecar(server).client().search(2_000);
        server.take();
        client.search(2_000);
        assertEquals(400, client.readResponse().status());
        client.assertClosed();
        server.awaitConnectionEnd();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "GET /search/k HTTP/1.1\r\nHost: a\r\n",
                "POST /book/k HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf"
            })
    void clientThatDoesNotCompleteItsRequestIsDisconnected(String sent) throws Exception {
        TestClient client = sidecar(server(ScriptedPeer.SILENT)).client().write(sent);
        long startNanos = System.nanoTime();
        if (!sent.isEmpty()) {
            assertEquals(408, client.readResponse().status());
        }
        client.assertClosed();
        assertTrue(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos) < 3_000);
    }

    /**
     * Guards against a fault in which the client did not receive the rejection. The kernel sends a
     * reset if the sidecar closes the connection while bytes of the body are unread. The reset
     * discards the response.
     */
    @Test
    void clientThatExceedsTheBodyLimitReceivesTheRejection() throws Exception {
        TestClient client = sidecar(server(ScriptedPeer.SILENT)).client();
        client.write(TestClient.head("POST", "/book/k1", 2_000, "", 32 * 1024 * 1024));
        byte[] chunk = new byte[1024 * 1024];
        for (int i = 0; i < 32; i++) {
            client.socket.getOutputStream().write(chunk);
        }
        assertEquals(413, client.readResponse().status());
        client.assertClosed();
    }

    /**
     * Guards against a fault in which silent clients occupied all connections until they
     * disconnected.
     */
    @Test
    void silentClientsBeyondTheLimitDoNotBlockOtherClients() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.respondsOk("ok"));
        SidecarHarness harness = harnessWithFewSockets(server);
        harness.start();
        for (int i = 0; i < harness.config().maxClientConnections() + 20; i++) {
            harness.client();
        }
        long startNanos = System.nanoTime();
        assertEquals(200, harness.client().search(5_000).readResponse().status());
        assertTrue(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos) < 1_500);
    }

    /**
     * Guards against a fault in which a slow event loop accepted only one connection in each
     * iteration. Deadlines then passed while connections waited in the kernel's accept queue. The
     * scheduled task runs once in each iteration. It counts the iterations and makes each of them
     * long enough for the clients to read their responses.
     */
    @Test
    void slowLoopAcceptsSeveralConnectionsInOneIteration() throws Exception {
        SidecarHarness harness = sidecar(server(ScriptedPeer.respondsOk("ok")));
        AtomicInteger iterations = new AtomicInteger();
        CountDownLatch connected = new CountDownLatch(1);
        harness.loop.execute(
                () -> {
                    try {
                        connected.await();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                    harness.loop.scheduleWithFixedDelay(
                            () -> {
                                iterations.incrementAndGet();
                                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
                            },
                            0,
                            1,
                            TimeUnit.NANOSECONDS);
                });
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            clients.add(harness.client().healthCheck());
        }
        connected.countDown();
        for (TestClient client : clients) {
            assertEquals(200, client.readResponse().status());
        }
        assertTrue(iterations.get() < 40, iterations + " iterations");
    }

    /**
     * Guards against a fault in which clients that sent one request and stayed connected occupied
     * all connections until the usual idle timeout.
     */
    @Test
    void idleConnectionsThatExceedHalfOfTheLimitAreClosedEarly() throws Exception {
        SidecarHarness harness = harnessWithFewSockets(server(ScriptedPeer.respondsOk("ok")));
        harness.start();
        int half = harness.config().maxClientConnections() / 2;
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < half + 5; i++) {
            clients.add(harness.client().search(5_000));
            assertEquals(200, clients.get(i).readResponse().status());
        }
        long startNanos = System.nanoTime();
        for (TestClient longestIdle : clients.subList(0, 5)) {
            longestIdle.assertClosed();
        }
        assertTrue(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos) < 3_000);
        for (TestClient remaining : clients.subList(5, clients.size())) {
            assertEquals(200, remaining.search(5_000).readResponse().status());
        }
    }

    /**
     * Connects three times as many clients as the limit allows. Each client sends more bytes than
     * the {@code Content-Length} of its request and then closes or resets its connection. If the
     * sidecar did not release all these connections, some requests at the end of the test would
     * fail.
     */
    @Test
    void connectionsOfClientsThatSendTooMuchAndDisconnectAreReleased() throws Exception {
        SidecarHarness harness =
                harnessWithFewSockets(server(ScriptedPeer.respondsOk("ok"))).start();
        int limit = harness.config().maxClientConnections();
        TestClient remaining = harness.client();
        String oversized =
                TestClient.head("POST", "/book/k1", 2_000, "", 60_000) + "x".repeat(200_000);
        for (int i = 0; i < 3 * limit; i++) {
            TestClient flooding = harness.client();
            flooding.socket.setSoLinger(i % 2 == 0, 0);
            try {
                flooding.write(oversized);
            } catch (IOException e) {
                // The sidecar may have closed the connection.
            }
            flooding.close();
            if (i % 10 == 0) {
                assertEquals(200, remaining.search(5_000).readResponse().status());
            }
        }
        for (int i = 0; i < limit - 1; i++) {
            assertEquals(200, harness.client().search(5_000).readResponse().status());
        }
    }

    @Test
    void errorThrownByTheBalancerIsReportedAs500() throws Exception {
        SidecarHarness harness = harness();
        harness.start(
                (settings, actions) ->
                        new NoOpLoadBalancer() {
                            @Override
                            public void onRequest(long nowMicros, Request request) {
                                throw new StackOverflowError();
                            }
                        });
        assertEquals(500, harness.client().search(2_000).readResponse().status());
        assertEquals(500, harness.client().search(2_000).readResponse().status());
    }

    /** Guards against a fault in which the next call used a connection with surplus bytes. */
    @Test
    void surplusBytesAfterAnEndpointListEndTheConnectionToDiscovery() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.respondsOk("ok"));
        SidecarHarness harness = sidecar(server);
        ReceivedRequest call = harness.discovery.take();
        String list = SidecarHarness.json(SidecarHarness.list(7, true, "in_service", server));
        call.write("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list + "x");
        ReceivedRequest next = harness.discovery.take();
        assertTrue(next.request().startLine().contains("from=7&"), next.request().startLine());
        assertNotEquals(call.socket(), next.socket());
    }

    @Test
    void endpointListLargerThanTheDefaultBodyLimitIsApplied() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.respondsOk("ok"));
        SidecarHarness harness = harness();
        List<ScriptedPeer> many = new ArrayList<>();
        for (int i = 0; i < 900; i++) {
            many.add(server);
        }
        String list =
                SidecarHarness.json(
                        SidecarHarness.list(
                                2, true, "in_service", many.toArray(new ScriptedPeer[0])));
        assertTrue(list.length() > HttpClientConnection.MAX_BODY_BYTES);
        harness.discovery.script(
                seen -> {
                    if (seen.request().startLine().contains("from=1&")) {
                        seen.respond("200 OK", "", list);
                    }
                });
        harness.start();
        // The second discovery request shows that the sidecar has read the response to the first.
        harness.discovery.take();
        harness.discovery.take();
        assertEquals(200, harness.client().search(2_000).readResponse().status());
    }
}
