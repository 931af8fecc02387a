package sagefall.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import sagefall.balancer.DefaultLoadBalancer;
import sagefall.config.SidecarConfig;
import sagefall.discovery.DiscoveryClient;
import sagefall.discovery.DiscoveryTimeouts;
import sagefall.discovery.EndpointList;
import sagefall.http.HttpClientConnection;
import sagefall.http.ProtocolHeaders;
import sagefall.proxy.downstream.BadRequestException;
import sagefall.proxy.upstream.ConnectionPool;

/** Tests race conditions. Each test forces one order of concurrent events. */
class RaceConditionTest extends SocketTest {

    /** Blocks the calling event loop for the given duration to simulate a slow iteration. */
    private static void stall(long millis) {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() < deadline) {
            Thread.onSpinWait();
        }
    }

    // ---- Endpoint lists

    /**
     * Assumed time in milliseconds from the connection attempt of a discovery request to its
     * response.
     */
    private static final long RESPONSE_MILLIS = 250;

    /** Records the events that a discovery client reports, each as a short text. */
    private static final class DiscoveryEvents implements DiscoveryClient.Listener {
        private final BlockingQueue<String> events = new LinkedBlockingQueue<>();

        @Override
        public void onEndpointList(EndpointList list) {
            events.add("list " + list.revision());
        }

        @Override
        public void onFailure(String reason) {
            events.add(reason);
        }

        String next() throws InterruptedException {
            return String.valueOf(events.poll(10, TimeUnit.SECONDS));
        }
    }

    /**
     * Guards against a fault in which the first discovery request after a failure had the long hold
     * time of a watch. If the discovery service was still silent, the sidecar detected the silence
     * late.
     */
    @Test
    void firstDiscoveryRequestAfterTimeoutHasMinimalHoldTime() throws Exception {
        SidecarHarness harness = harness();
        DiscoveryEvents events = new DiscoveryEvents();
        SidecarConfig config = harness.config();
        DiscoveryClient discovery =
                harness.loop
                        .submit(
                                () ->
                                        new DiscoveryClient(
                                                harness.loop,
                                                config.discovery(),
                                                SidecarHarness.bufferMemory(),
                                                config.endpointListCodec(),
                                                1,
                                                events,
                                                line -> {},
                                                new DiscoveryTimeouts(400, 200)))
                        .get();
        for (int round = 0; round < 2; round++) {
            harness.loop.execute(discovery::subscribe);
            ReceivedRequest first = harness.discovery.take();
            assertEquals("GET /v1/servers?from=1&hold_ms=1 HTTP/1.1", first.request().startLine());
            first.respond("200 OK", "", SidecarHarness.json(SidecarHarness.NO_CHANGES));
            assertEquals("list 1", events.next());
            assertEquals(
                    "GET /v1/servers?from=1&hold_ms=400 HTTP/1.1",
                    harness.discovery.take().request().startLine());
            assertEquals("no response", events.next());
            harness.discovery.awaitConnectionEnd();
        }
        harness.loop.submit(discovery::close).get();
    }

    /**
     * The sidecar must know of a change of the endpoint list within 6 s. Two discovery requests may
     * be lost in this time: the sidecar must detect each loss, back off, and receive the response
     * to the third request.
     */
    @ParameterizedTest
    @CsvSource({"false, 150", "true, 600"})
    void endpointListArrivesWithinSixSecondsAfterTwoLostRequests(
            boolean polls, long backoffMillis) {
        DiscoveryTimeouts timeouts = DiscoveryTimeouts.of(polls);
        long thirdRequestMillis =
                timeouts.holdMillis() + 2 * (timeouts.responseMillis() + backoffMillis);
        assertTrue(thirdRequestMillis + RESPONSE_MILLIS < 6_000, thirdRequestMillis + " ms");
    }

    /**
     * If discovery is an agent, the agent's endpoint list must apply to all requests after the
     * start of the sidecar. The sidecar therefore accepts clients only after the agent's first
     * response.
     */
    @Test
    void clientsAreAcceptedOnlyAfterFirstEndpointListOfAgent() throws Exception {
        ScriptedPeer draining = server(ScriptedPeer.respondsOk("draining"));
        ScriptedPeer ready = server(ScriptedPeer.respondsOk("ready"));
        SidecarHarness harness = harness(draining, ready).withPushedEndpoints();
        CompletableFuture<InetSocketAddress> started = harness.startAsync(DefaultLoadBalancer::new);
        awaitDiscoveryRequest(harness.discovery);
        assertFalse(started.isDone());
        harness.publishEndpoints(2, SidecarHarness.list(2, false, "terminating", draining));
        harness.awaitStart(started);
        for (int i = 0; i < 20; i++) {
            assertEquals("ready", harness.client().search(2_000).readResponse().body());
        }
    }

    @Test
    void silentAgentDoesNotPreventStartup() throws Exception {
        SidecarHarness harness =
                harness(server(ScriptedPeer.respondsOk("known"))).withPushedEndpoints().start();
        assertEquals("known", harness.client().search(2_000).readResponse().body());
    }

    /**
     * Guards against a fault in which an older endpoint list made a draining endpoint ready again.
     * The sidecar may receive such a list from a discovery replica that lags behind, for example
     * after a SIGHUP.
     */
    @Test
    void olderEndpointListDoesNotMakeDrainingEndpointReady() throws Exception {
        ScriptedPeer first = server(ScriptedPeer.respondsOk("first"));
        ScriptedPeer second = server(ScriptedPeer.respondsOk("second"));
        SidecarHarness harness = harness(first, second).start();
        harness.publishEndpoints(5, SidecarHarness.list(5, false, "terminating", first));
        harness.publishEndpoints(3, SidecarHarness.list(3, true, "in_service", first, second));
        for (int i = 0; i < 20; i++) {
            assertEquals("second", harness.client().search(2_000).readResponse().body());
        }
        // List 6 drains the second endpoint; list 7 makes the first endpoint ready again.
        harness.publishEndpoints(6, SidecarHarness.list(6, false, "terminating", second));
        harness.publishEndpoints(7, SidecarHarness.list(7, false, "in_service", first));
        assertEquals("first", harness.client().search(2_000).readResponse().body());
    }

    /**
     * Guards against a fault in which a SIGHUP during startup caused the configured endpoint list,
     * which may be old, to be applied after the list from discovery.
     */
    @Test
    void reloadDuringStartupWaitsForFirstEndpointList() throws Exception {
        ScriptedPeer draining = server(ScriptedPeer.respondsOk("draining"));
        ScriptedPeer ready = server(ScriptedPeer.respondsOk("ready"));
        ScriptedPeer newDiscovery = server(ScriptedPeer.SILENT);
        SidecarHarness harness = harness(draining, ready).withPushedEndpoints();
        harness.create(DefaultLoadBalancer::new);
        harness.withConfig(":" + harness.discovery.port(), ":" + newDiscovery.port());
        harness.reload();
        // If the reload had opened a connection to the new discovery service, the service would
        // have accepted that connection before the connection of the test's own client.
        harness.awaitLoop();
        harness.awaitLoop();
        try (TestClient ownClient =
                new TestClient(
                        new InetSocketAddress(
                                InetAddress.getLoopbackAddress(), newDiscovery.port()))) {
            ownClient.write("GET /own HTTP/1.1\r\n\r\n");
            assertEquals("GET /own HTTP/1.1", newDiscovery.take().request().startLine());
        }
        assertEquals(1, newDiscovery.accepted.get());
        CompletableFuture<InetSocketAddress> started = harness.sidecar.start();
        assertEquals(
                "GET /v1/servers HTTP/1.1",
                awaitDiscoveryRequest(newDiscovery).request().startLine());
        SidecarHarness.publishEndpoints(
                newDiscovery, 2, SidecarHarness.list(2, true, "in_service", ready));
        harness.awaitStart(started);
        for (int i = 0; i < 20; i++) {
            assertEquals("ready", harness.client().search(2_000).readResponse().body());
        }
        assertTrue(harness.discovery.receivedRequests.isEmpty());
    }

    /** Waits for the next discovery request and leaves it in the queue for a later response. */
    private static ReceivedRequest awaitDiscoveryRequest(ScriptedPeer discovery)
            throws InterruptedException {
        ReceivedRequest request = discovery.take();
        discovery.receivedRequests.add(request);
        return request;
    }

    /** Passes a request to the sidecar and discards the response. Called on the event loop. */
    private static void handleRequest(SidecarServer sidecar) {
        FullHttpRequest http =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/search/k");
        http.headers()
                .set(ProtocolHeaders.REQUEST_ID, "racing")
                .set(ProtocolHeaders.TENANT, "acme")
                .set(ProtocolHeaders.TIMEOUT, "5000");
        try {
            sidecar.requestHandler().handle(http, (status, headers, content) -> content.release());
        } catch (BadRequestException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Guards against a fault in which the sidecar applied an endpoint list too late. The socket had
     * received the list while the event loop was stalled. The first request after the stall was
     * sent to an endpoint that was draining according to that list.
     */
    @Test
    void endpointListReceivedDuringStallIsAppliedBeforeNextRequest() throws Exception {
        SidecarHarness harness = harness(server(ScriptedPeer.SILENT)).withPushedEndpoints();
        ScriptedBalancer balancer = ScriptedBalancer.start(harness);
        ReceivedRequest watch = harness.discovery.take();
        harness.whileLoopIsStalled(
                () -> watch.respond("200 OK", "", SidecarHarness.json(SidecarHarness.NO_CHANGES)),
                () -> {
                    // The stall is longer than the minimum interval between reads from discovery.
                    stall(25);
                    handleRequest(harness.sidecar);
                });
        assertEquals(ScriptedBalancer.listOf(0), balancer.nextEvent());
        assertEquals("racing", balancer.nextEvent());
    }

    // ---- Clients that disconnect

    /** Ways in which a client disconnects. */
    private enum DisconnectMode {
        /** The client closes its socket, which sends a FIN. */
        CLOSES,
        /** The client closes its socket with a linger time of 0, which sends a reset. */
        RESETS,
        /** The client half-closes its connection: it sends a FIN and can still read. */
        ENDS_SENDING;

        void disconnect(TestClient client) throws IOException {
            if (this == ENDS_SENDING) {
                client.socket.shutdownOutput();
                return;
            }
            client.socket.setSoLinger(this == RESETS, 0);
            client.socket.close();
        }
    }

    /**
     * Waits until the delay after which connections to servers may be reused has passed. The next
     * attempt is then sent immediately on such a connection.
     */
    private static void awaitReusableConnections(SidecarHarness harness) throws Exception {
        harness.awaitLoop(2 * ConnectionPool.INITIAL_REUSE_DELAY_MICROS);
    }

    /**
     * Guards against a fault in which a request was forwarded although its client had already
     * disconnected. The sidecar read the request and the end of the connection together.
     */
    @ParameterizedTest
    @EnumSource
    void requestOfDisconnectedClientIsNotForwarded(DisconnectMode mode) throws Exception {
        ScriptedPeer server = server(ScriptedPeer.respondsOk("ok"));
        SidecarHarness harness = harness(server).start();
        assertEquals("ok", harness.client().book("warm", 5_000).readResponse().body());
        awaitReusableConnections(harness);
        harness.whileLoopIsStalled(
                () -> {
                    for (int i = 0; i < 20; i++) {
                        mode.disconnect(harness.client().book("left", 5_000));
                    }
                },
                () -> {});
        // The sidecar accepts and reads this connection after the connections closed above.
        assertEquals("ok", harness.client().book("stays", 5_000).readResponse().body());
        assertEquals(
                List.of("warm", "stays"),
                server.receivedRequests.stream()
                        .map(received -> received.request().body())
                        .toList());
    }

    /** The client disconnects while its request awaits an attempt and the event loop is stalled. */
    @ParameterizedTest
    @EnumSource
    void pendingRequestIsNotForwardedAfterDisconnectDuringStall(DisconnectMode mode)
            throws Exception {
        PendingRequest pending = new PendingRequest("'cancelling':true", 1, false);
        pending.harness.whileLoopIsStalled(
                () -> mode.disconnect(pending.client), pending::sendAttempt);
        assertEquals("NOT_SENT", pending.nextEvent());
        assertTrue(pending.server.receivedRequests.isEmpty());
    }

    /** The client disconnects between two attempts while cancelling of attempts is turned off. */
    @ParameterizedTest
    @EnumSource
    void retryIsNotSentForDisconnectedClient(DisconnectMode mode) throws Exception {
        PendingRequest pending = new PendingRequest("'cancelling':false", 2, true);
        pending.harness.loop.execute(pending::sendAttempt);
        ReceivedRequest firstAttempt = pending.server.take();
        pending.harness.whileLoopIsStalled(
                () -> {
                    firstAttempt.respond("503 Service Unavailable", "Not-Started: 1\r\n", "");
                    mode.disconnect(pending.client);
                },
                pending::sendAttempt);
        String earlier = pending.nextEvent();
        String later = pending.nextEvent();
        assertEquals(Set.of("REJECTED", "NOT_SENT"), Set.of(earlier, later));
        assertTrue(pending.server.receivedRequests.isEmpty());
    }

    /**
     * A request that the balancer has received and for which it has sent no attempt yet. The
     * sidecar has idle connections to the server, so an attempt is sent without a connection
     * set-up.
     */
    private final class PendingRequest {
        private final ScriptedPeer server = server(ScriptedPeer.SILENT);
        private final SidecarHarness harness = harness(server).withPushedEndpoints();
        private final ScriptedBalancer balancer;
        private final TestClient client;
        private final String id;
        private final boolean skipsEndpointLists;

        /**
         * Starts a sidecar and sends the request.
         *
         * @param cancelling the {@code cancelling} key and its value, as text of the configuration
         * @param idleConnections number of idle connections to the server
         * @param skipsEndpointLists whether {@link #nextEvent} skips events of discovery; if false,
         *     {@link #nextEvent} returns them, and the test fails
         */
        PendingRequest(String cancelling, int idleConnections, boolean skipsEndpointLists)
                throws Exception {
            this.skipsEndpointLists = skipsEndpointLists;
            harness.withConfig("'cancelling':true", cancelling);
            balancer = ScriptedBalancer.start(harness);
            openConnections(idleConnections);
            client = harness.client().book("left", 20_000);
            id = nextEvent();
        }

        private void openConnections(int count) throws Exception {
            List<TestClient> clients = new ArrayList<>();
            List<ReceivedRequest> requests = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                clients.add(harness.client().book("warm", 20_000));
                String warmId = nextEvent();
                harness.loop.execute(() -> balancer.send(warmId, server));
                requests.add(server.take());
            }
            for (int i = 0; i < count; i++) {
                requests.get(i).respond("200 OK", "", "ok");
                assertEquals("SERVED", nextEvent());
                assertEquals("ok", clients.get(i).readResponse().body());
            }
            awaitReusableConnections(harness);
        }

        private String nextEvent() throws InterruptedException {
            return skipsEndpointLists ? balancer.nextEventExceptDiscovery() : balancer.nextEvent();
        }

        /** Sends an attempt of the request. Called on the event loop. */
        void sendAttempt() {
            balancer.send(id, server);
        }
    }

    // ---- Responses that end with the connection

    /** A response without a length ends when the server closes the connection (RFC 9112, 6.3). */
    @ParameterizedTest
    @ValueSource(ints = {0, 5, HttpClientConnection.MAX_BODY_BYTES})
    void responseWithoutLengthEndsWhenConnectionCloses(int length) throws Exception {
        String body = "x".repeat(length);
        ScriptedPeer server =
                server(
                        request -> {
                            request.write("HTTP/1.1 200 OK\r\n\r\n" + body);
                            request.socket().close();
                        });
        SidecarHarness harness = harness(server).start();
        for (int i = 0; i < 2; i++) {
            HttpMessages.Message response = harness.client().book("x", 5_000).readResponse();
            assertEquals(200, response.status());
            assertEquals(body, response.body());
        }
        assertEquals(2, server.accepted.get());
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 5, HttpClientConnection.MAX_BODY_BYTES})
    void resetDoesNotCompleteResponseWithoutLength(int length) throws Exception {
        BlockingQueue<ReceivedRequest> respondedTo = new LinkedBlockingQueue<>();
        ScriptedPeer server =
                server(
                        request -> {
                            request.write("HTTP/1.1 200 OK\r\n\r\n" + "x".repeat(length));
                            respondedTo.add(request);
                        });
        SidecarHarness harness = harness(server).start();
        TestClient client = harness.client().book("x", 5_000);
        ReceivedRequest request = respondedTo.poll(10, TimeUnit.SECONDS);
        // When awaitLoop returns, the event loop has read the bytes that the server has written.
        harness.awaitLoop();
        request.socket().setSoLinger(true, 0);
        request.socket().close();
        assertEquals(502, client.readResponse().status());
        assertEquals(1, server.receivedRequests.size());
    }

    @Test
    void responseWithoutLengthThatExceedsTheBodyLimitFails() throws Exception {
        ScriptedPeer server =
                server(
                        request -> {
                            request.write(
                                    "HTTP/1.1 200 OK\r\n\r\n"
                                            + "x".repeat(HttpClientConnection.MAX_BODY_BYTES + 1));
                            request.socket().close();
                        });
        assertEquals(
                502, harness(server).start().client().book("x", 5_000).readResponse().status());
    }

    // ---- Graceful shutdown

    /**
     * Guards against a fault in which the sidecar closed both directions of an idle connection at
     * shutdown. A request that arrived after the close caused a reset. The reset discarded data
     * that the client had not read yet.
     */
    @Test
    void idleClientConnectionIsHalfClosedAtShutdown() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.respondsOk("ok"));
        SidecarHarness harness = harness(server).start();
        TestClient client = harness.client();
        assertEquals("ok", client.search(5_000).readResponse().body());
        server.take();
        CountDownLatch stopped = harness.stop();
        client.assertClosed();
        client.search(5_000).search(5_000);
        // assertClosed() would fail if the connection had been reset.
        client.assertClosed();
        // The event loop reads and discards both requests before it reads the half-close that the
        // next line sends.
        client.socket.shutdownOutput();
        assertTrue(stopped.await(10, TimeUnit.SECONDS));
        assertTrue(server.receivedRequests.isEmpty());
    }

    /**
     * Stops the sidecar and runs the peers' action in the event loop iteration that closes the
     * listening socket, after the reads of that iteration and before the close. The action is due
     * after 380 ms and the close after 400 ms. The event loop is stalled for 450 ms, so the next
     * iteration runs the action first and then the close.
     */
    private static CountDownLatch stopAndActBeforeListenerCloses(
            SidecarHarness harness, SidecarHarness.PeerAction peers) throws Exception {
        CountDownLatch stopped = new CountDownLatch(1);
        harness.loop
                .submit(
                        () -> {
                            harness.sidecar.stop(System.nanoTime(), stopped::countDown);
                            harness.loop.schedule(
                                    () -> {
                                        peers.run();
                                        return null;
                                    },
                                    380,
                                    TimeUnit.MILLISECONDS);
                            stall(450);
                        })
                .get();
        return stopped;
    }

    /**
     * Guards against a fault in which an idle connection was closed at shutdown although its socket
     * had already received a request that the sidecar had not read yet.
     */
    @Test
    void requestThatArrivesBeforeListenerClosesCompletes() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.respondsOk("ok"));
        SidecarHarness harness = harness(server).start();
        TestClient client = harness.client();
        assertEquals("ok", client.search(5_000).readResponse().body());
        CountDownLatch stopped =
                stopAndActBeforeListenerCloses(harness, () -> client.search(5_000));
        HttpMessages.Message response = client.readResponse();
        assertEquals("ok", response.body());
        assertEquals("close", response.headers().get("Connection"));
        client.assertClosed();
        client.close();
        assertTrue(stopped.await(10, TimeUnit.SECONDS));
    }

    /**
     * Guards against a fault in which a connection with a partially received request was treated as
     * idle and closed at shutdown.
     */
    @Test
    void partiallyReceivedRequestKeepsConnectionOpenDuringShutdown() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.respondsOk("ok"));
        SidecarHarness harness = harness(server).start();
        TestClient idle = harness.client();
        assertEquals("ok", idle.search(5_000).readResponse().body());
        String request = TestClient.head("GET", "/search/k", 5_000, "", 0);
        TestClient client = harness.client();
        assertEquals("ok", client.search(5_000).readResponse().body());
        client.write(request.substring(0, 40));
        harness.stop();
        idle.assertClosed();
        assertEquals("ok", client.write(request.substring(40)).readResponse().body());
        client.assertClosed();
    }

    /**
     * The close of the listening socket resets all connections that have not been accepted yet. The
     * sidecar must therefore accept these connections before it closes the listening socket.
     */
    @Test
    void requestsOnConnectionsNotYetAcceptedAtShutdownComplete() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.respondsOk("ok"));
        SidecarHarness harness = harness(server).start();
        BlockingQueue<TestClient> lateClients = new LinkedBlockingQueue<>();
        CountDownLatch stopped =
                stopAndActBeforeListenerCloses(
                        harness,
                        () -> {
                            for (int i = 0; i < 5; i++) {
                                lateClients.add(harness.client().search(5_000));
                            }
                        });
        for (int i = 0; i < 5; i++) {
            try (TestClient client = lateClients.poll(10, TimeUnit.SECONDS)) {
                assertEquals("ok", client.readResponse().body());
            }
        }
        assertTrue(stopped.await(10, TimeUnit.SECONDS));
    }
}
