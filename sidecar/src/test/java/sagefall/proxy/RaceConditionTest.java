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

/** Events that race: each test forces an order that must do no harm. */
class RaceConditionTest extends SocketTest {

    /** Keeps the loop, on which it is called, busy for so long, as a slow iteration does. */
    private static void stall(long millis) {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() < until) {
            Thread.onSpinWait();
        }
    }

    // ---- Endpoint lists

    /** Within this time a call connects and is answered. */
    private static final long ANSWER_MILLIS = 250;

    /** What a discovery client reports, each as a short text. */
    private static final class DiscoveryEvents implements DiscoveryClient.Listener {
        private final BlockingQueue<String> events = new LinkedBlockingQueue<>();

        @Override
        public void listed(EndpointList list) {
            events.add("list " + list.revision());
        }

        @Override
        public void failed(String reason) {
            events.add(reason);
        }

        String next() throws InterruptedException {
            return String.valueOf(events.poll(10, TimeUnit.SECONDS));
        }
    }

    /** Before, a silent peer was awaited for as long after a failure as in a watch. */
    @Test
    void afterSilenceTheFirstCallDoesNotWait() throws Exception {
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
            first.reply("200 OK", "", SidecarHarness.json(SidecarHarness.NO_CHANGES));
            assertEquals("list 1", events.next());
            assertEquals(
                    "GET /v1/servers?from=1&hold_ms=400 HTTP/1.1",
                    harness.discovery.take().request().startLine());
            assertEquals("no answer", events.next());
            harness.discovery.awaitEnd();
        }
        harness.loop.submit(discovery::close).get();
    }

    /**
     * Noticing, the backoff, a further call that is lost and the next one end within the 6 s after
     * which a list counts as known.
     */
    @ParameterizedTest
    @CsvSource({"false, 150", "true, 600"})
    void silenceOfDiscoveryIsOverBeforeItsListCountsAsKnown(boolean polls, long backoffMillis) {
        DiscoveryTimeouts timeouts = DiscoveryTimeouts.of(polls);
        long asked = timeouts.holdMillis() + 2 * (timeouts.answerMillis() + backoffMillis);
        assertTrue(asked + ANSWER_MILLIS < 6_000, asked + " ms");
    }

    /**
     * What an agent has counts as known from the first moment, so clients are accepted only after
     * its first answer.
     */
    @Test
    void agentIsReadBeforeTheFirstRequest() throws Exception {
        ScriptedPeer leaving = server(ScriptedPeer.serves("leaving"));
        ScriptedPeer staying = server(ScriptedPeer.serves("staying"));
        SidecarHarness harness = harness(leaving, staying).withPushedEndpoints();
        CompletableFuture<InetSocketAddress> started = harness.startAsync(DefaultLoadBalancer::new);
        awaitCall(harness.discovery);
        assertFalse(started.isDone());
        harness.publishEndpoints(2, SidecarHarness.list(2, false, "terminating", leaving));
        harness.awaitStart(started);
        for (int i = 0; i < 20; i++) {
            assertEquals("staying", harness.client().search(2_000).answer().body());
        }
    }

    @Test
    void silentAgentDoesNotPreventTheStart() throws Exception {
        SidecarHarness harness =
                harness(server(ScriptedPeer.serves("known"))).withPushedEndpoints().start();
        assertEquals("known", harness.client().search(2_000).answer().body());
    }

    /**
     * Before, a replica of discovery that was behind, as after SIGHUP, made a server ready that had
     * been listed as draining.
     */
    @Test
    void listThatIsBehindEndsNoDrain() throws Exception {
        ScriptedPeer leaving = server(ScriptedPeer.serves("leaving"));
        ScriptedPeer staying = server(ScriptedPeer.serves("staying"));
        SidecarHarness harness = harness(leaving, staying).start();
        harness.publishEndpoints(5, SidecarHarness.list(5, false, "terminating", leaving));
        harness.publishEndpoints(3, SidecarHarness.list(3, true, "in_service", leaving, staying));
        for (int i = 0; i < 20; i++) {
            assertEquals("staying", harness.client().search(2_000).answer().body());
        }
        // One that is ahead does.
        harness.publishEndpoints(6, SidecarHarness.list(6, false, "terminating", staying));
        harness.publishEndpoints(7, SidecarHarness.list(7, false, "in_service", leaving));
        assertEquals("leaving", harness.client().search(2_000).answer().body());
    }

    /**
     * Before, at a SIGHUP during the start, the first list, which may be old, was delivered behind
     * discovery's.
     */
    @Test
    void hangupDuringTheStartWaitsForTheFirstList() throws Exception {
        ScriptedPeer leaving = server(ScriptedPeer.serves("leaving"));
        ScriptedPeer staying = server(ScriptedPeer.serves("staying"));
        ScriptedPeer next = server(ScriptedPeer.SILENT);
        SidecarHarness harness = harness(leaving, staying).withPushedEndpoints();
        harness.create(DefaultLoadBalancer::new);
        harness.withConfig(":" + harness.discovery.port(), ":" + next.port());
        harness.reload();
        // A connection that the loop has begun by then is accepted before this one.
        harness.awaitLoop();
        harness.awaitLoop();
        try (TestClient own =
                new TestClient(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), next.port()))) {
            own.raw("GET /own HTTP/1.1\r\n\r\n");
            assertEquals("GET /own HTTP/1.1", next.take().request().startLine());
        }
        assertEquals(1, next.accepted.get());
        CompletableFuture<InetSocketAddress> started = harness.sidecar.start();
        assertEquals("GET /v1/servers HTTP/1.1", awaitCall(next).request().startLine());
        SidecarHarness.publishEndpoints(
                next, 2, SidecarHarness.list(2, true, "in_service", staying));
        harness.awaitStart(started);
        for (int i = 0; i < 20; i++) {
            assertEquals("staying", harness.client().search(2_000).answer().body());
        }
        assertTrue(harness.discovery.receivedRequests.isEmpty());
    }

    /** Waits for the next call, which stays to be answered. */
    private static ReceivedRequest awaitCall(ScriptedPeer discovery) throws InterruptedException {
        ReceivedRequest call = discovery.take();
        discovery.receivedRequests.add(call);
        return call;
    }

    /** Hands the sidecar a request whose client does not look at the answer; on the loop. */
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
     * Before, a request that was handled first after a stall went to a server that had been listed
     * as draining meanwhile.
     */
    @Test
    void listThatCameDuringAStallGoesBeforeTheRequest() throws Exception {
        SidecarHarness harness = harness(server(ScriptedPeer.SILENT)).withPushedEndpoints();
        ScriptedBalancer balancer = ScriptedBalancer.start(harness);
        ReceivedRequest watch = harness.discovery.take();
        harness.whileLoopIsStalled(
                () -> watch.reply("200 OK", "", SidecarHarness.json(SidecarHarness.NO_CHANGES)),
                () -> {
                    stall(25);
                    handleRequest(harness.sidecar);
                });
        assertEquals(ScriptedBalancer.listOf(0), balancer.nextEvent());
        assertEquals("racing", balancer.nextEvent());
    }

    // ---- Clients that disconnect

    /** How a client disconnects. */
    private enum Leaving {
        CLOSES,
        RESETS,
        ENDS_SENDING;

        void by(TestClient client) throws IOException {
            if (this == ENDS_SENDING) {
                client.socket.shutdownOutput();
                return;
            }
            client.socket.setSoLinger(this == RESETS, 0);
            client.socket.close();
        }
    }

    /**
     * Waits until connections that have brought an answer may be used for the next request, so that
     * it goes out at once.
     */
    private static void awaitReusableConnections(SidecarHarness harness) throws Exception {
        harness.awaitLoop(2 * ConnectionPool.REUSE_DELAY_MICROS);
    }

    /** Before, a request was forwarded whose bytes came with the end of the connection. */
    @ParameterizedTest
    @EnumSource
    void requestWhoseClientHasLeftIsNotForwarded(Leaving leaving) throws Exception {
        ScriptedPeer server = server(ScriptedPeer.serves("ok"));
        SidecarHarness harness = harness(server).start();
        assertEquals("ok", harness.client().book("warm", 5_000).answer().body());
        awaitReusableConnections(harness);
        harness.whileLoopIsStalled(
                () -> {
                    for (int i = 0; i < 20; i++) {
                        leaving.by(harness.client().book("left", 5_000));
                    }
                },
                () -> {});
        // Accepted after them, and so read after them.
        assertEquals("ok", harness.client().book("stays", 5_000).answer().body());
        assertEquals(
                List.of("warm", "stays"),
                server.receivedRequests.stream().map(seen -> seen.request().body()).toList());
    }

    /** The same for one that waits for an attempt while the loop is slow. */
    @ParameterizedTest
    @EnumSource
    void pendingRequestWhoseClientLeavesDuringAStallIsNotForwarded(Leaving leaving)
            throws Exception {
        PendingRequest pending = new PendingRequest("'cancelling':true", 1, false);
        pending.harness.whileLoopIsStalled(() -> leaving.by(pending.client), pending::sendAttempt);
        assertEquals("NOT_SENT", pending.nextEvent());
        assertTrue(pending.server.receivedRequests.isEmpty());
    }

    /** Between two attempts too, also where attempts may not be cancelled. */
    @ParameterizedTest
    @EnumSource
    void furtherAttemptIsNotStartedForAClientThatHasLeft(Leaving leaving) throws Exception {
        PendingRequest pending = new PendingRequest("'cancelling':false", 2, true);
        pending.harness.loop.execute(pending::sendAttempt);
        ReceivedRequest first = pending.server.take();
        pending.harness.whileLoopIsStalled(
                () -> {
                    first.reply("503 Service Unavailable", "Not-Started: 1\r\n", "");
                    leaving.by(pending.client);
                },
                pending::sendAttempt);
        String earlier = pending.nextEvent();
        String later = pending.nextEvent();
        assertEquals(Set.of("REJECTED", "NOT_SENT"), Set.of(earlier, later));
        assertTrue(pending.server.receivedRequests.isEmpty());
    }

    /**
     * A request that the balancer knows and has not sent, beside idle connections to its server, so
     * that each attempt would go out at once.
     */
    private final class PendingRequest {
        private final ScriptedPeer server = server(ScriptedPeer.SILENT);
        private final SidecarHarness harness = harness(server).withPushedEndpoints();
        private final ScriptedBalancer balancer;
        private final TestClient client;
        private final String id;
        private final boolean listsMayIntervene;

        /**
         * @param cancelling the setting, as the configuration says it
         * @param idleConnections how many attempts can go out at once
         * @param listsMayIntervene whether endpoint lists may come between the events; otherwise
         *     one that does fails the test
         */
        PendingRequest(String cancelling, int idleConnections, boolean listsMayIntervene)
                throws Exception {
            this.listsMayIntervene = listsMayIntervene;
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
                requests.get(i).reply("200 OK", "", "ok");
                assertEquals("SERVED", nextEvent());
                assertEquals("ok", clients.get(i).answer().body());
            }
            awaitReusableConnections(harness);
        }

        private String nextEvent() throws InterruptedException {
            return listsMayIntervene ? balancer.nextEventButLists() : balancer.nextEvent();
        }

        /** On the loop. */
        void sendAttempt() {
            balancer.send(id, server);
        }
    }

    // ---- Answers that end with the connection

    /** Without a length the end of the server's sending is that of the answer (RFC 9112, 6.3). */
    @ParameterizedTest
    @ValueSource(ints = {0, 5, HttpClientConnection.MAX_BODY_BYTES})
    void answerWithoutALengthEndsWithTheConnection(int length) throws Exception {
        String body = "x".repeat(length);
        ScriptedPeer server =
                server(
                        seen -> {
                            seen.raw("HTTP/1.1 200 OK\r\n\r\n" + body);
                            seen.socket().close();
                        });
        SidecarHarness harness = harness(server).start();
        for (int i = 0; i < 2; i++) {
            HttpMessages.Message answer = harness.client().book("x", 5_000).answer();
            assertEquals(200, answer.status());
            assertEquals(body, answer.body());
        }
        assertEquals(2, server.accepted.get());
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 5, HttpClientConnection.MAX_BODY_BYTES})
    void resetDoesNotEndAnAnswer(int length) throws Exception {
        BlockingQueue<ReceivedRequest> written = new LinkedBlockingQueue<>();
        ScriptedPeer server =
                server(
                        seen -> {
                            seen.raw("HTTP/1.1 200 OK\r\n\r\n" + "x".repeat(length));
                            written.add(seen);
                        });
        SidecarHarness harness = harness(server).start();
        TestClient client = harness.client().book("x", 5_000);
        ReceivedRequest seen = written.poll(10, TimeUnit.SECONDS);
        // What was written is read in this iteration or an earlier one, so before the reset.
        harness.awaitLoop();
        seen.socket().setSoLinger(true, 0);
        seen.socket().close();
        assertEquals(502, client.answer().status());
        assertEquals(1, server.receivedRequests.size());
    }

    @Test
    void answerWithoutALengthIsLimitedToo() throws Exception {
        ScriptedPeer server =
                server(
                        seen -> {
                            seen.raw(
                                    "HTTP/1.1 200 OK\r\n\r\n"
                                            + "x".repeat(HttpClientConnection.MAX_BODY_BYTES + 1));
                            seen.socket().close();
                        });
        assertEquals(502, harness(server).start().client().book("x", 5_000).answer().status());
    }

    // ---- Graceful shutdown

    /**
     * Before, an idle connection was closed at once and then reset by a request on its way, and the
     * reset took what was unread.
     */
    @Test
    void idleClientIsHalfClosedAndNotReset() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.serves("ok"));
        SidecarHarness harness = harness(server).start();
        TestClient client = harness.client();
        assertEquals("ok", client.search(5_000).answer().body());
        server.take();
        CountDownLatch ended = harness.stop();
        client.assertClosed();
        client.search(5_000).search(5_000);
        // Read and thrown away by now, since this comes behind it on the same loop.
        client.assertClosed();
        client.socket.shutdownOutput();
        assertTrue(ended.await(10, TimeUnit.SECONDS));
        assertTrue(server.receivedRequests.isEmpty());
    }

    /**
     * Stops the sidecar and lets peers act between the reads of an iteration of the loop and the
     * end of accepting: both that act and that end are due when a long iteration is over, and so
     * run one after the other in the next.
     */
    private static CountDownLatch stopAndRace(
            SidecarHarness harness, SidecarHarness.PeerAction peers) throws Exception {
        CountDownLatch ended = new CountDownLatch(1);
        harness.loop
                .submit(
                        () -> {
                            harness.sidecar.stop(ended::countDown);
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
        return ended;
    }

    /**
     * Before, a connection that had been idle was closed although a request was in its socket
     * already.
     */
    @Test
    void requestThatHasComeBeforeTheEndIsAnswered() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.serves("ok"));
        SidecarHarness harness = harness(server).start();
        TestClient client = harness.client();
        assertEquals("ok", client.search(5_000).answer().body());
        CountDownLatch ended = stopAndRace(harness, () -> client.search(5_000));
        HttpMessages.Message answer = client.answer();
        assertEquals("ok", answer.body());
        assertEquals("close", answer.headers().get("Connection"));
        client.assertClosed();
        client.close();
        assertTrue(ended.await(10, TimeUnit.SECONDS));
    }

    /** Before, a connection on which part of a request had come counted as idle, and was closed. */
    @Test
    void partOfARequestKeepsItsConnectionOpen() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.serves("ok"));
        SidecarHarness harness = harness(server).start();
        TestClient idle = harness.client();
        assertEquals("ok", idle.search(5_000).answer().body());
        String request = TestClient.head("GET", "/search/k", 5_000, "", 0);
        TestClient client = harness.client();
        assertEquals("ok", client.search(5_000).answer().body());
        client.raw(request.substring(0, 40));
        harness.stop();
        idle.assertClosed();
        assertEquals("ok", client.raw(request.substring(40)).answer().body());
        client.assertClosed();
    }

    /** Connections in the queue of the listening socket would be reset when it closes. */
    @Test
    void connectionNotYetAcceptedAtTheStopIsAnswered() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.serves("ok"));
        SidecarHarness harness = harness(server).start();
        BlockingQueue<TestClient> late = new LinkedBlockingQueue<>();
        CountDownLatch ended =
                stopAndRace(
                        harness,
                        () -> {
                            for (int i = 0; i < 5; i++) {
                                late.add(harness.client().search(5_000));
                            }
                        });
        for (int i = 0; i < 5; i++) {
            try (TestClient client = late.poll(10, TimeUnit.SECONDS)) {
                assertEquals("ok", client.answer().body());
            }
        }
        assertTrue(ended.await(10, TimeUnit.SECONDS));
    }
}
