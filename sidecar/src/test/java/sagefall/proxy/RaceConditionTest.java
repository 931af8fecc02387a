package sagefall.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import sagefall.balancer.DefaultLoadBalancer;
import sagefall.balancer.api.AttemptOutcome;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.EndpointListKind;
import sagefall.balancer.api.ListedEndpoint;
import sagefall.balancer.api.Request;
import sagefall.config.SidecarConfig;
import sagefall.discovery.DiscoveryClient;
import sagefall.discovery.EndpointList;
import sagefall.discovery.StableIds;
import sagefall.http.HttpClientConnection;
import sagefall.http.ProtocolHeaders;
import sagefall.proxy.downstream.RequestParser;
import sagefall.proxy.upstream.ConnectionPool;

/** What comes in the very moment in which something else happens; each test forces its order. */
class RaceConditionTest extends SocketTest {

    /** Keeps the loop, on which it is called, for so long: a slow turn is what is to be forced. */
    private static void stall(long millis) {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() < until) {
            Thread.onSpinWait();
        }
    }

    // ---- Lists

    /** A call that is answered in turn comes up and is answered in this time. */
    private static final long ANSWER_MILLIS = 250;

    private static final class Listed implements DiscoveryClient.Listener {
        final LinkedBlockingQueue<String> told = new LinkedBlockingQueue<>();

        @Override
        public void listed(EndpointList list) {
            told.add("list " + list.revision());
        }

        @Override
        public void failed(String why) {
            told.add(why);
        }

        String next() throws InterruptedException {
            return String.valueOf(told.poll(10, TimeUnit.SECONDS));
        }
    }

    /** A silent peer was waited for as long after a failure as in a watch. */
    @Test
    void afterSilenceTheFirstCallDoesNotWait() throws Exception {
        SidecarHarness harness = harness();
        Listed listed = new Listed();
        SidecarConfig config = harness.config();
        DiscoveryClient discovery =
                harness.loop
                        .submit(
                                () ->
                                        new DiscoveryClient(
                                                harness.loop,
                                                config.discovery(),
                                                config.lists(),
                                                1,
                                                listed,
                                                line -> {},
                                                new DiscoveryClient.Timeouts(400, 200)))
                        .get();
        for (int round = 0; round < 2; round++) {
            harness.loop.execute(discovery::subscribe);
            ScriptedPeer.Seen first = harness.discovery.take();
            assertEquals("GET /v1/servers?from=1&hold_ms=1 HTTP/1.1", first.request().first());
            first.reply("200 OK", "", SidecarHarness.json(SidecarHarness.NOTHING_NEW));
            assertEquals("list 1", listed.next());
            assertEquals(
                    "GET /v1/servers?from=1&hold_ms=400 HTTP/1.1",
                    harness.discovery.take().request().first());
            assertEquals("no answer", listed.next());
            harness.discovery.awaitEnd();
        }
        harness.loop.submit(discovery::close).get();
    }

    /**
     * Noticing, the back-off, a further call that is lost and the next one end before the 6 s do.
     */
    @ParameterizedTest
    @CsvSource({"false, 150", "true, 600"})
    void silenceOfDiscoveryIsOverBeforeItsWordCountsAsTold(boolean onAsk, long backOff) {
        DiscoveryClient.Timeouts timeouts = DiscoveryClient.Timeouts.of(onAsk);
        long asked = timeouts.holdMillis() + 2 * (timeouts.answerMillis() + backOff);
        assertTrue(asked + ANSWER_MILLIS < 6_000, asked + " ms");
    }

    /**
     * What an agent has counts as told from the first moment, so clients come after its first word.
     */
    @Test
    void agentIsHeardBeforeTheFirstRequest() throws Exception {
        ScriptedPeer leaving = server(ScriptedPeer.serves("leaving"));
        ScriptedPeer staying = server(ScriptedPeer.serves("staying"));
        SidecarHarness harness = harness(leaving, staying).pushed();
        CompletableFuture<InetSocketAddress> started = harness.begin(DefaultLoadBalancer::new);
        first(harness.discovery);
        assertFalse(started.isDone());
        harness.tell(2, SidecarHarness.list(2, false, "terminating", leaving));
        harness.address = started.get(10, TimeUnit.SECONDS);
        for (int i = 0; i < 20; i++) {
            assertEquals("staying", harness.client().search(2_000).answer().body());
        }
    }

    @Test
    void silentAgentKeepsNobodyOut() throws Exception {
        SidecarHarness harness = harness(server(ScriptedPeer.serves("known"))).pushed().start();
        assertEquals("known", harness.client().search(2_000).answer().body());
    }

    /**
     * A replica that is behind, as after SIGHUP, turned a server ready again that was told to
     * drain.
     */
    @Test
    void listThatIsBehindEndsNoDrain() throws Exception {
        ScriptedPeer leaving = server(ScriptedPeer.serves("leaving"));
        ScriptedPeer staying = server(ScriptedPeer.serves("staying"));
        SidecarHarness harness = harness(leaving, staying).start();
        harness.tell(5, SidecarHarness.list(5, false, "terminating", leaving));
        harness.tell(3, SidecarHarness.list(3, true, "in_service", leaving, staying));
        for (int i = 0; i < 20; i++) {
            assertEquals("staying", harness.client().search(2_000).answer().body());
        }
        // One that is ahead does.
        harness.tell(6, SidecarHarness.list(6, false, "terminating", staying));
        harness.tell(7, SidecarHarness.list(7, false, "in_service", leaving));
        assertEquals("leaving", harness.client().search(2_000).answer().body());
    }

    /**
     * SIGHUP before the start was over: the first list, which may be old, came behind discovery's.
     */
    @Test
    void hangupDuringTheStartWaitsForTheFirstList() throws Exception {
        ScriptedPeer leaving = server(ScriptedPeer.serves("leaving"));
        ScriptedPeer staying = server(ScriptedPeer.serves("staying"));
        ScriptedPeer next = server(ScriptedPeer.SILENT);
        SidecarHarness harness = harness(leaving, staying).pushed();
        SidecarConfig config = harness.config();
        harness.sidecar =
                harness.loop
                        .submit(
                                () ->
                                        new SidecarServer(
                                                harness.loop,
                                                harness.turns,
                                                config,
                                                new PrintStream(harness.log, true)))
                        .get();
        Files.writeString(
                harness.file,
                Files.readString(harness.file)
                        .replace(":" + harness.discovery.port(), ":" + next.port()));
        harness.reload();
        // A connection that the loop has begun by then is accepted before this one.
        harness.loop.submit(() -> {}).get();
        harness.loop.submit(() -> {}).get();
        try (SidecarHarness.Client own =
                new SidecarHarness.Client(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), next.port()))) {
            own.raw("GET /own HTTP/1.1\r\n\r\n");
            assertEquals("GET /own HTTP/1.1", next.take().request().first());
        }
        assertEquals(1, next.accepted.get());
        CompletableFuture<InetSocketAddress> started = harness.sidecar.start();
        assertEquals("GET /v1/servers HTTP/1.1", first(next).request().first());
        SidecarHarness.tell(next, 2, SidecarHarness.list(2, true, "in_service", staying));
        harness.address = started.get(10, TimeUnit.SECONDS);
        for (int i = 0; i < 20; i++) {
            assertEquals("staying", harness.client().search(2_000).answer().body());
        }
        assertTrue(harness.discovery.seen.isEmpty());
    }

    /** The next call, which stays to be answered. */
    private static ScriptedPeer.Seen first(ScriptedPeer discovery) throws InterruptedException {
        ScriptedPeer.Seen call = discovery.take();
        discovery.seen.add(call);
        return call;
    }

    /** A module that decides nothing: the test sees what it is told, and acts in its place. */
    private static final class Scripted extends NoOpLoadBalancer {
        final BlockingQueue<String> told = new LinkedBlockingQueue<>();
        final BalancerActions actions;

        Scripted(BalancerActions actions) {
            this.actions = actions;
        }

        String next() throws InterruptedException {
            return String.valueOf(told.poll(10, TimeUnit.SECONDS));
        }

        /** Also where discovery, which says nothing, is given up and asked again meanwhile. */
        String nextButLists() throws InterruptedException {
            String next = next();
            while (next.startsWith("list of") || next.equals("discovery failed")) {
                next = next();
            }
            return next;
        }

        @Override
        public void onEndpointList(
                long nowMicros, EndpointListKind kind, List<ListedEndpoint> list) {
            told.add(
                    kind == EndpointListKind.FAILED
                            ? "discovery failed"
                            : "list of " + list.size());
        }

        @Override
        public void onRequest(long nowMicros, Request request) {
            told.add(request.id());
        }

        @Override
        public void onAttemptOutcome(long nowMicros, AttemptOutcome outcome) {
            told.add(outcome.result().toString());
        }

        void send(String id, ScriptedPeer server) {
            actions.send(id, StableIds.of("s-" + server.port()), 0, Long.MAX_VALUE);
        }
    }

    private static Scripted scripted(SidecarHarness harness) throws Exception {
        AtomicReference<Scripted> module = new AtomicReference<>();
        CompletableFuture<InetSocketAddress> started =
                harness.begin(
                        (settings, actions) -> {
                            module.set(new Scripted(actions));
                            return module.get();
                        });
        assertEquals("list of 1", module.get().next());
        answerFirst(harness);
        // A process that is still cold may give its call up before it reads the answer; it is then
        // asked to
        // ask again, as a module would.
        for (String next = module.get().next();
                !next.equals("list of 0");
                next = module.get().next()) {
            assertEquals("discovery failed", next);
            harness.loop.execute(module.get().actions::requestEndpointUpdates);
            answerFirst(harness);
        }
        harness.address = started.get(10, TimeUnit.SECONDS);
        return module.get();
    }

    private static void answerFirst(SidecarHarness harness) throws InterruptedException {
        try {
            harness.discovery
                    .take()
                    .reply("200 OK", "", SidecarHarness.json(SidecarHarness.NOTHING_NEW));
        } catch (IOException e) {
            // Given up; the module hears of it.
        }
    }

    private static void take(SidecarServer sidecar) {
        FullHttpRequest http =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/search/k");
        http.headers()
                .set(ProtocolHeaders.REQUEST_ID, "crossing")
                .set(ProtocolHeaders.TENANT, "acme")
                .set(ProtocolHeaders.TIMEOUT, "5000");
        try {
            sidecar.requestHandler().take(http, (status, headers, content) -> content.release());
        } catch (RequestParser.BadRequest e) {
            throw new IllegalStateException(e);
        }
    }

    /** A request that had its turn first after a stall went to a server told to drain meanwhile. */
    @Test
    void listThatCameDuringAStallGoesBeforeTheRequest() throws Exception {
        SidecarHarness harness = harness(server(ScriptedPeer.SILENT)).pushed();
        Scripted module = scripted(harness);
        ScriptedPeer.Seen watch = harness.discovery.take();
        harness.whileStalled(
                () -> {
                    watch.reply("200 OK", "", SidecarHarness.json(SidecarHarness.NOTHING_NEW));
                    return null;
                },
                () -> {
                    stall(25);
                    take(harness.sidecar);
                });
        assertEquals("list of 0", module.next());
        assertEquals("crossing", module.next());
    }

    // ---- Clients that leave

    private enum Leaving {
        CLOSES,
        RESETS,
        ENDS_SENDING;

        void by(Socket socket) throws IOException {
            if (this == ENDS_SENDING) {
                socket.shutdownOutput();
                return;
            }
            socket.setSoLinger(this == RESETS, 0);
            socket.close();
        }
    }

    /**
     * Until a connection that has brought an answer is used again, so that a request goes out at
     * once.
     */
    private static void settle(SidecarHarness harness) throws Exception {
        harness.loop
                .schedule(() -> {}, 2 * ConnectionPool.SETTLE_MICROS, TimeUnit.MICROSECONDS)
                .get();
    }

    /**
     * Bytes and end of a request came together, or the end before it was accepted: it was sent on.
     */
    @ParameterizedTest
    @EnumSource
    void requestWhoseClientHasLeftIsNotSentOn(Leaving leaving) throws Exception {
        ScriptedPeer server = server(ScriptedPeer.serves("ok"));
        SidecarHarness harness = harness(server).start();
        assertEquals("ok", harness.client().book("warm", 5_000).answer().body());
        settle(harness);
        harness.whileStalled(
                () -> {
                    for (int i = 0; i < 20; i++) {
                        leaving.by(harness.client().book("left", 5_000).socket);
                    }
                    return null;
                },
                () -> {});
        // Accepted after them, and so read after them.
        assertEquals("ok", harness.client().book("stays", 5_000).answer().body());
        assertEquals(
                List.of("warm", "stays"),
                server.seen.stream().map(seen -> seen.request().body()).toList());
    }

    /**
     * The same for one that was held while the loop was slow: its client is looked at before it
     * goes out.
     */
    @ParameterizedTest
    @EnumSource
    void heldRequestWhoseClientLeavesDuringAStallIsNotSentOn(Leaving leaving) throws Exception {
        ScriptedPeer server = server(ScriptedPeer.serves("ok"));
        SidecarHarness harness = harness(server).pushed();
        Scripted module = scripted(harness);
        SidecarHarness.Client warm = harness.client().book("warm", 20_000);
        String first = module.next();
        harness.loop.execute(() -> module.send(first, server));
        assertEquals("SERVED", module.next());
        assertEquals("ok", warm.answer().body());
        settle(harness);
        SidecarHarness.Client client = harness.client().book("left", 20_000);
        String id = module.next();
        harness.whileStalled(
                () -> {
                    leaving.by(client.socket);
                    return null;
                },
                () -> module.send(id, server));
        assertEquals("NOT_SENT", module.next());
        assertEquals(1, server.seen.size());
    }

    /** Between two attempts too, also where attempts may not be called off. */
    @ParameterizedTest
    @EnumSource
    void furtherAttemptIsNotBegunForAClientThatHasLeft(Leaving leaving) throws Exception {
        ScriptedPeer server = server(ScriptedPeer.SILENT);
        SidecarHarness harness = harness(server).pushed();
        Files.writeString(
                harness.file,
                Files.readString(harness.file)
                        .replace("\"cancelling\":true", "\"cancelling\":false"));
        Scripted module = scripted(harness);
        // Two connections that are up, so that the further attempt would go out at once.
        List<ScriptedPeer.Seen> warm = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            harness.client().book("warm", 20_000);
            String id = module.nextButLists();
            harness.loop.execute(() -> module.send(id, server));
            warm.add(server.take());
        }
        for (ScriptedPeer.Seen seen : warm) {
            seen.reply("200 OK", "", "ok");
            assertEquals("SERVED", module.nextButLists());
        }
        settle(harness);
        SidecarHarness.Client client = harness.client().book("left", 20_000);
        String id = module.nextButLists();
        harness.loop.execute(() -> module.send(id, server));
        ScriptedPeer.Seen first = server.take();
        harness.whileStalled(
                () -> {
                    first.reply("503 Service Unavailable", "Not-Started: 1\r\n", "");
                    leaving.by(client.socket);
                    return null;
                },
                () -> module.send(id, server));
        String earlier = module.nextButLists();
        String later = module.nextButLists();
        assertEquals(Set.of("REJECTED", "NOT_SENT"), Set.of(earlier, later));
        assertTrue(server.seen.isEmpty());
    }

    // ---- Answers that end with the connection

    /** Without a length the end of the server's sending is that of the answer (RFC 9112, 6.3). */
    @ParameterizedTest
    @ValueSource(ints = {0, 5, HttpClientConnection.MAX_BODY})
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
    @ValueSource(ints = {0, 5, HttpClientConnection.MAX_BODY})
    void resetIsNoEnd(int length) throws Exception {
        BlockingQueue<ScriptedPeer.Seen> written = new LinkedBlockingQueue<>();
        ScriptedPeer server =
                server(
                        seen -> {
                            seen.raw("HTTP/1.1 200 OK\r\n\r\n" + "x".repeat(length));
                            written.add(seen);
                        });
        SidecarHarness harness = harness(server).start();
        SidecarHarness.Client client = harness.client().book("x", 5_000);
        ScriptedPeer.Seen seen = written.poll(10, TimeUnit.SECONDS);
        // What was written is read in this turn or an earlier one, so the reset comes behind it.
        harness.loop.submit(() -> {}).get();
        seen.socket().setSoLinger(true, 0);
        seen.socket().close();
        assertEquals(502, client.answer().status());
        assertEquals(1, server.seen.size());
    }

    @Test
    void answerWithoutALengthIsBoundedToo() throws Exception {
        ScriptedPeer server =
                server(
                        seen -> {
                            seen.raw(
                                    "HTTP/1.1 200 OK\r\n\r\n"
                                            + "x".repeat(HttpClientConnection.MAX_BODY + 1));
                            seen.socket().close();
                        });
        assertEquals(502, harness(server).start().client().book("x", 5_000).answer().status());
    }

    // ---- The end

    /** Closed at once, it was reset by a request on its way, and the reset took what was unread. */
    @Test
    void restingClientIsToldTheEndAndNotReset() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.serves("ok"));
        SidecarHarness harness = harness(server).start();
        SidecarHarness.Client client = harness.client();
        assertEquals("ok", client.search(5_000).answer().body());
        server.take();
        CountDownLatch ended = harness.stop();
        client.assertClosed();
        client.search(5_000).search(5_000);
        // Read and thrown away by now, since this comes behind it on the same loop.
        client.assertClosed();
        client.socket.shutdownOutput();
        assertTrue(ended.await(10, TimeUnit.SECONDS));
        assertTrue(server.seen.isEmpty());
    }

    /**
     * Lets peers act in the moment between a turn's reading and the end of accepting: both that act
     * and that end are due when a long turn is over, and so stand one behind the other in the next.
     */
    private static CountDownLatch stopAndCross(SidecarHarness harness, Callable<?> peers)
            throws Exception {
        CountDownLatch ended = new CountDownLatch(1);
        harness.loop
                .submit(
                        () -> {
                            harness.sidecar.stop(ended::countDown);
                            harness.loop.schedule(peers, 380, TimeUnit.MILLISECONDS);
                            stall(450);
                        })
                .get();
        return ended;
    }

    /**
     * A request was in the socket already when its connection, quiet until then, was closed for the
     * end.
     */
    @Test
    void requestThatHasComeBeforeTheEndIsAnswered() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.serves("ok"));
        SidecarHarness harness = harness(server).start();
        SidecarHarness.Client client = harness.client();
        assertEquals("ok", client.search(5_000).answer().body());
        CountDownLatch ended = stopAndCross(harness, () -> client.search(5_000));
        HttpMessages.Message answer = client.answer();
        assertEquals("ok", answer.body());
        assertEquals("close", answer.headers().get("Connection"));
        client.assertClosed();
        client.close();
        assertTrue(ended.await(10, TimeUnit.SECONDS));
    }

    /** One that had come in part counted as quiet, and was closed. */
    @Test
    void requestThatHasComeInPartGetsItsTime() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.serves("ok"));
        SidecarHarness harness = harness(server).start();
        SidecarHarness.Client resting = harness.client();
        assertEquals("ok", resting.search(5_000).answer().body());
        String request = SidecarHarness.Client.head("GET", "/search/k", 5_000, "", 0);
        SidecarHarness.Client client = harness.client();
        assertEquals("ok", client.search(5_000).answer().body());
        client.raw(request.substring(0, 40));
        harness.stop();
        resting.assertClosed();
        assertEquals("ok", client.raw(request.substring(40)).answer().body());
        client.assertClosed();
    }

    /** Who waits in the queue of the listening socket when it closes would be reset. */
    @Test
    void whoWaitsToBeAcceptedAtTheEndIsAnswered() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.serves("ok"));
        SidecarHarness harness = harness(server).start();
        BlockingQueue<SidecarHarness.Client> late = new LinkedBlockingQueue<>();
        CountDownLatch ended =
                stopAndCross(
                        harness,
                        () -> {
                            for (int i = 0; i < 5; i++) {
                                late.add(harness.client().search(5_000));
                            }
                            return null;
                        });
        for (int i = 0; i < 5; i++) {
            try (SidecarHarness.Client client = late.poll(10, TimeUnit.SECONDS)) {
                assertEquals("ok", client.answer().body());
            }
        }
        assertTrue(ended.await(10, TimeUnit.SECONDS));
    }
}
