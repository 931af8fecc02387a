package sagefall.proxy.upstream;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import sagefall.balancer.api.AttemptResult;
import sagefall.balancer.api.LoadReport;
import sagefall.balancer.api.Request;
import sagefall.config.SidecarConfig;
import sagefall.discovery.StableHash;
import sagefall.proxy.ForwardedAttempt;
import sagefall.proxy.ProxiedRequest;
import sagefall.proxy.ReceivedRequest;
import sagefall.proxy.ScriptedPeer;
import sagefall.proxy.SidecarHarness;
import sagefall.proxy.SocketTest;
import sagefall.proxy.TestClient;
import sagefall.proxy.WallClock;

/**
 * Tests the connection pool without a balancer. In a complete sidecar, the limits of the balancer
 * prevent the cases that are tested here.
 */
class ConnectionPoolTest extends SocketTest {

    private static final long CONNECT_TIMEOUT_MICROS = 20_000_000;

    private final BlockingQueue<AttemptResult> results = new LinkedBlockingQueue<>();
    private final WallClock clock = new WallClock();
    private LoadReport lastReport;
    private SidecarHarness harness;
    private ConnectionPool pool;

    private void start(int sockets, ScriptedPeer... servers) throws Exception {
        harness =
                closeAfterTest(
                        new SidecarHarness(folder, CONNECT_TIMEOUT_MICROS, sockets, servers));
        SidecarConfig config = harness.config();
        pool =
                harness.loop
                        .submit(
                                () ->
                                        new ConnectionPool(
                                                harness.loop,
                                                clock,
                                                config,
                                                SidecarHarness.bufferMemory(),
                                                this::onAttemptEnded,
                                                line -> {}))
                        .get();
        update(SidecarHarness.list(1, true, "in_service", servers));
    }

    private void onAttemptEnded(
            ForwardedAttempt attempt,
            AttemptResult result,
            LoadReport report,
            FullHttpResponse response) {
        attempt.result = result;
        lastReport = report;
        results.add(result);
    }

    private void update(String list) throws Exception {
        SidecarConfig config = harness.config();
        harness.loop
                .submit(
                        () -> {
                            pool.update(
                                    config.endpointListCodec()
                                            .parse(SidecarHarness.json(list).getBytes(UTF_8)));
                            return null;
                        })
                .get();
    }

    private ForwardedAttempt send(int port) throws Exception {
        long now = clock.micros();
        Request request = new Request(TestClient.id(), 0, 0, false, -1, now + 60_000_000, false);
        ProxiedRequest proxied =
                new ProxiedRequest(
                        request,
                        HttpMethod.GET,
                        "/search",
                        new DefaultHttpHeaders(),
                        new byte[0],
                        null,
                        0,
                        null);
        ForwardedAttempt attempt =
                new ForwardedAttempt(
                        proxied, StableHash.of("s-" + port), now, request.deadlineMicros());
        harness.loop.submit(() -> pool.send(attempt)).get();
        return attempt;
    }

    private AttemptResult awaitResult() throws InterruptedException {
        AttemptResult result = results.poll(20, TimeUnit.SECONDS);
        assertNotNull(result, "no attempt ended");
        return result;
    }

    /**
     * Waits until connections that have just received a response may be reused. Asserts that no
     * attempt ends in the meantime.
     */
    private void awaitReuseDelay() throws InterruptedException {
        assertNull(
                results.poll(2 * ConnectionPool.INITIAL_REUSE_DELAY_MICROS, TimeUnit.MICROSECONDS));
    }

    @Test
    void attemptBeyondTheConnectionLimitIsNotSent() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.SILENT);
        start(128, server);
        int limit = harness.config().maxEndpointConnections();
        for (int i = 0; i < limit; i++) {
            send(server.port());
            server.take();
        }
        send(server.port());
        assertEquals(AttemptResult.NO_CONNECTION, awaitResult());
        assertEquals(limit, server.accepted.get());
    }

    @Test
    void idleConnectionToAnotherEndpointIsClosedAtTheConnectionLimit() throws Exception {
        ScriptedPeer first = server(ScriptedPeer.respondsOk("ok"));
        ScriptedPeer second = server(ScriptedPeer.SILENT);
        start(128, first, second);
        send(first.port());
        assertEquals(AttemptResult.SERVED, awaitResult());
        for (int i = 0; i < harness.config().maxEndpointConnections(); i++) {
            send(second.port());
            second.take();
        }
        first.awaitConnectionEnd();
        assertTrue(results.isEmpty());
    }

    @Test
    void attemptResultDistinguishesResponsesFromFailures() throws Exception {
        ScriptedPeer server =
                server(
                        ScriptedPeer.respondsWith(
                                "200 OK",
                                "Server-Load: TEXT cpu=0.5, x=1, rps=-3, err_rps=y\r\n",
                                "ok"));
        start(1024, server);
        send(server.port());
        assertEquals(AttemptResult.SERVED, awaitResult());
        assertEquals(0.5, lastReport.utilization());
        assertTrue(Double.isNaN(lastReport.rate()) && Double.isNaN(lastReport.errorRate()));
        server.script(ScriptedPeer.respondsWith("500 No", "", ""));
        send(server.port());
        assertEquals(AttemptResult.ERROR, awaitResult());
        assertNull(lastReport);
        server.script(ScriptedPeer.respondsWith("504 Over", "Not-Started: 1\r\n", ""));
        send(server.port());
        assertEquals(AttemptResult.REJECTED, awaitResult());
        server.script(ScriptedPeer.CLOSE_CONNECTION);
        send(server.port());
        assertEquals(AttemptResult.BROKEN, awaitResult());
        server.close();
        send(server.port());
        assertEquals(AttemptResult.NO_CONNECTION, awaitResult());
    }

    @Test
    void mostRecentlyUsedIdleConnectionIsReused() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.SILENT);
        start(1024, server);
        send(server.port());
        ReceivedRequest first = server.take();
        send(server.port());
        ReceivedRequest second = server.take();
        second.respond("200 OK", "", "");
        assertEquals(AttemptResult.SERVED, awaitResult());
        first.respond("200 OK", "", "");
        assertEquals(AttemptResult.SERVED, awaitResult());
        awaitReuseDelay();
        send(server.port());
        assertEquals(first.socket(), server.take().socket());
    }

    /** A late second response is most likely to have arrived on the connection idle longest. */
    @Test
    void longestIdleConnectionIsReusedIfTheEndpointHasSentSurplusInput() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.SILENT);
        start(1024, server);
        List<ReceivedRequest> requests = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            send(server.port());
            requests.add(server.take());
        }
        for (ReceivedRequest request : requests) {
            request.respond("200 OK", "", "");
            assertEquals(AttemptResult.SERVED, awaitResult());
        }
        requests.get(1).socket().getOutputStream().write('x');
        server.awaitConnectionEnd();
        awaitReuseDelay();
        send(server.port());
        assertEquals(requests.get(0).socket(), server.take().socket());
    }

    @Test
    void connectionIsNotReusedAfterTheHeaderConnectionClose() throws Exception {
        ScriptedPeer server =
                server(ScriptedPeer.respondsWith("200 OK", "Connection: close\r\n", "ok"));
        start(1024, server);
        send(server.port());
        assertEquals(AttemptResult.SERVED, awaitResult());
        server.awaitConnectionEnd();
        send(server.port());
        assertEquals(AttemptResult.SERVED, awaitResult());
        assertEquals(2, server.accepted.get());
    }

    /**
     * A listening socket with a full accept queue. A new connection is established only after the
     * test has accepted queued connections.
     */
    private static final class FullBacklog implements AutoCloseable {
        final ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        private final List<Socket> queued = new ArrayList<>();

        FullBacklog() throws IOException {
            try {
                while (queued.size() < 20) {
                    Socket next = new Socket();
                    queued.add(next);
                    next.connect(socket.getLocalSocketAddress(), 300);
                }
            } catch (SocketTimeoutException e) {
                return;
            }
            throw new IOException("the accept queue did not fill up");
        }

        /** Accepts and closes the queued connections, then returns the next one accepted. */
        Socket acceptNext() throws IOException {
            for (int i = 0; i < queued.size() - 1; i++) {
                socket.accept().close();
            }
            return socket.accept();
        }

        @Override
        public void close() throws IOException {
            for (Socket s : queued) {
                s.close();
            }
            socket.close();
        }
    }

    private String listOf(int revision, String state, FullBacklog backlog) {
        return SidecarHarness.list(revision, true, state)
                .replace(
                        "[]",
                        "[{'uid':'s-"
                                + backlog.socket.getLocalPort()
                                + "','endpoint':'127.0.0.1:"
                                + backlog.socket.getLocalPort()
                                + "','state':'"
                                + state
                                + "'}]");
    }

    /** Changes that make an attempt outdated while its connection is being established. */
    private enum Change {
        ENDPOINT_DRAINS,
        LATEST_START_PASSES,
        REQUEST_COMPLETES
    }

    @ParameterizedTest
    @EnumSource
    void attemptThatBecomesOutdatedWhileConnectingIsNotSent(Change change) throws Exception {
        FullBacklog backlog = closeAfterTest(new FullBacklog());
        start(1024);
        update(listOf(1, "in_service", backlog));
        ForwardedAttempt attempt = send(backlog.socket.getLocalPort());
        switch (change) {
            case ENDPOINT_DRAINS -> update(listOf(2, "terminating", backlog));
            case LATEST_START_PASSES -> attempt.latestStartMicros = clock.micros();
            default -> attempt.request.completed = true;
        }
        Socket established = backlog.acceptNext();
        assertEquals(AttemptResult.NOT_SENT, awaitResult());
        assertFalse(attempt.written);
        harness.loop.submit(pool::close).get();
        assertEquals(-1, established.getInputStream().read());
    }

    /** A draining endpoint receives no new attempt, but may complete the attempts in flight. */
    @Test
    void drainingEndpointCompletesAttemptInFlightAndReceivesNoNewOne() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.SILENT);
        start(1024, server);
        send(server.port());
        ReceivedRequest inFlight = server.take();
        update(SidecarHarness.list(2, true, "terminating", server));
        send(server.port());
        assertEquals(AttemptResult.NOT_SENT, awaitResult());
        inFlight.respond("200 OK", "", "ok");
        assertEquals(AttemptResult.SERVED, awaitResult());
        assertTrue(server.receivedRequests.isEmpty());
    }
}
