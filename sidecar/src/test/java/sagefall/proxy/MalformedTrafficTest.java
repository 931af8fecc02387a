package sagefall.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
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

/** Servers that send more than one answer, and clients that send malformed requests. */
class MalformedTrafficTest extends SocketTest {

    private static final String COPY = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";

    /** Sends the second request from inside the event that ends the first. */
    private static final class ChainingBalancer extends NoOpLoadBalancer {
        private final BalancerActions actions;
        private final List<String> requestIds = new ArrayList<>();
        private long server;

        ChainingBalancer(BalancerActions actions) {
            this.actions = actions;
        }

        @Override
        public void onEndpointList(
                long nowMicros, EndpointListKind kind, List<ListedEndpoint> list) {
            if (!list.isEmpty()) {
                server = list.get(0).id();
            }
        }

        @Override
        public void onRequest(long nowMicros, Request request) {
            requestIds.add(request.id());
            if (requestIds.size() == 1) {
                actions.send(request.id(), server, 0, Long.MAX_VALUE);
            }
        }

        @Override
        public void onAttemptOutcome(long nowMicros, AttemptOutcome outcome) {
            if (requestIds.size() == 2 && outcome.requestId().equals(requestIds.get(0))) {
                actions.send(requestIds.get(1), server, 0, Long.MAX_VALUE);
            }
        }
    }

    /**
     * Before, a second copy or noise right behind an answer counted as the answer to the next
     * request.
     */
    @ParameterizedTest
    @ValueSource(strings = {COPY + "copy", "noise", "noise\r\n\r\n", "HTTP/1.1 200 OK\r\n"})
    void bytesBehindAnAnswerAreNoAnswer(String behind) throws Exception {
        ScriptedPeer server = server(ScriptedPeer.SILENT);
        SidecarHarness harness = harness(server);
        harness.start((settings, actions) -> new ChainingBalancer(actions));
        TestClient first = harness.client().search(5_000);
        ReceivedRequest one = server.take();
        TestClient second = harness.client().search(5_000);
        // Rejected once the one before has been read, since the loop reads one after the other.
        assertEquals(400, harness.client().raw("x\r\n\r\n").answer().status());
        one.raw(COPY + "mine" + behind);
        assertEquals("mine", first.answer().body());
        server.take().reply("200 OK", "", "other");
        assertEquals("other", second.answer().body());
    }

    @Test
    void byteOnAnIdleConnectionEndsIt() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.serves("ok"));
        assertEquals(200, sidecar(server).client().search(2_000).answer().status());
        server.take().raw("x");
        server.awaitEnd();
    }

    @Test
    void informationalResponsesAreNotTheAnswer() throws Exception {
        ScriptedPeer server =
                server(
                        seen -> {
                            seen.raw(
                                    "HTTP/1.1 103 Early\r\n"
                                            + "Link: x\r\n\r\n"
                                            + "HTTP/1.1 102 On it\r\n\r\n");
                            seen.reply(
                                    "200 OK",
                                    "Server-Load: {\r\nServer-Load: TEXT cpu=0.5\r\n",
                                    "ok");
                        });
        assertEquals("ok", sidecar(server).client().book("x", 2_000).answer().body());
    }

    /** None of these reaches a server: the end of such a request is ambiguous. */
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
        ScriptedPeer server = server(ScriptedPeer.serves("ok"));
        TestClient client = sidecar(server).client();
        String head = TestClient.head("POST", "/book/k1", 2_000, "", 0);
        client.raw(head.substring(0, head.length() - 2) + rest);
        assertEquals(400, client.answer().status());
        client.assertClosed();
        assertTrue(server.receivedRequests.isEmpty());
    }

    /** The same for bytes that come while the request is in flight: its attempt is cancelled. */
    @Test
    void bytesBehindARequestInFlightRejectIt() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.SILENT);
        TestClient client = sidecar(server).client().search(2_000);
        server.take();
        client.search(2_000);
        assertEquals(400, client.answer().status());
        client.assertClosed();
        server.awaitEnd();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "GET /search/k HTTP/1.1\r\nHost: a\r\n",
                "POST /book/k HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf"
            })
    void clientThatDoesNotCompleteItsRequestIsDisconnected(String part) throws Exception {
        TestClient client = sidecar(server(ScriptedPeer.SILENT)).client().raw(part);
        long since = System.nanoTime();
        if (!part.isEmpty()) {
            assertEquals(408, client.answer().status());
        }
        client.assertClosed();
        assertTrue(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - since) < 3_000);
    }

    /**
     * Before, the answer was lost to a reset where the connection was closed with bytes of the body
     * unread.
     */
    @Test
    void clientThatSendsFarTooMuchCanReadItsRejection() throws Exception {
        TestClient client = sidecar(server(ScriptedPeer.SILENT)).client();
        client.raw(TestClient.head("POST", "/book/k1", 2_000, "", 32 * 1024 * 1024));
        byte[] some = new byte[1024 * 1024];
        for (int i = 0; i < 32; i++) {
            client.socket.getOutputStream().write(some);
        }
        assertEquals(413, client.answer().status());
        client.assertClosed();
    }

    /** Before, silent clients up to the limit shut out others until one of them left by itself. */
    @Test
    void silentClientsDoNotShutOutOthers() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.serves("ok"));
        SidecarHarness harness = harnessOfFewSockets(server);
        harness.start();
        for (int i = 0; i < harness.config().maxClientConnections() + 20; i++) {
            harness.client();
        }
        long since = System.nanoTime();
        assertEquals(200, harness.client().search(5_000).answer().status());
        assertTrue(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - since) < 1_500);
    }

    /**
     * Before, with one connection accepted in each iteration of a slow loop, clients' time ran out
     * in the kernel's queue. The task is due in each iteration, so it counts them, and makes each
     * long enough for the clients to read.
     */
    @Test
    void clientsDoNotQueueUnseenBehindASlowLoop() throws Exception {
        SidecarHarness harness = sidecar(server(ScriptedPeer.serves("ok")));
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
            assertEquals(200, client.answer().status());
        }
        assertTrue(iterations.get() < 40, iterations + " iterations");
    }

    /**
     * Before, clients that send one request and stay connected used up the limit until the usual
     * idle time was over.
     */
    @Test
    void idleClientsPastHalfOfTheLimitAreClosedSoon() throws Exception {
        SidecarHarness harness = harnessOfFewSockets(server(ScriptedPeer.serves("ok")));
        harness.start();
        int half = harness.config().maxClientConnections() / 2;
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < half + 5; i++) {
            clients.add(harness.client().search(5_000));
            assertEquals(200, clients.get(i).answer().status());
        }
        long since = System.nanoTime();
        for (TestClient longest : clients.subList(0, 5)) {
            longest.assertClosed();
        }
        assertTrue(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - since) < 3_000);
        for (TestClient staying : clients.subList(5, clients.size())) {
            assertEquals(200, staying.search(5_000).answer().status());
        }
    }

    /**
     * Three times the limit of clients that send much and disconnect, by an end or a reset, leave
     * no connection behind.
     */
    @Test
    void clientsThatSendMuchAndDisconnectLeaveNoConnection() throws Exception {
        SidecarHarness harness = harnessOfFewSockets(server(ScriptedPeer.serves("ok"))).start();
        int limit = harness.config().maxClientConnections();
        TestClient staying = harness.client();
        String much = TestClient.head("POST", "/book/k1", 2_000, "", 60_000) + "x".repeat(200_000);
        for (int i = 0; i < 3 * limit; i++) {
            TestClient flooding = harness.client();
            flooding.socket.setSoLinger(i % 2 == 0, 0);
            try {
                flooding.raw(much);
            } catch (IOException e) {
                // Disconnected, as it may be.
            }
            flooding.close();
            if (i % 10 == 0) {
                assertEquals(200, staying.search(5_000).answer().status());
            }
        }
        for (int i = 0; i < limit - 1; i++) {
            assertEquals(200, harness.client().search(5_000).answer().status());
        }
    }

    @Test
    void errorInTheBalancerIsAnsweredToo() throws Exception {
        SidecarHarness harness = harness();
        harness.start(
                (settings, actions) ->
                        new NoOpLoadBalancer() {
                            @Override
                            public void onRequest(long nowMicros, Request request) {
                                throw new StackOverflowError();
                            }
                        });
        assertEquals(500, harness.client().search(2_000).answer().status());
        assertEquals(500, harness.client().search(2_000).answer().status());
    }

    @Test
    void longListIsRead() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.serves("ok"));
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
                        seen.reply("200 OK", "", list);
                    }
                });
        harness.start();
        harness.discovery.take();
        harness.discovery.take();
        assertEquals(200, harness.client().search(2_000).answer().status());
    }
}
