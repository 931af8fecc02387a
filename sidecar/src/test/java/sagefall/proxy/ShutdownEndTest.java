package sagefall.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks that a sidecar that shuts down ends by itself before the platform may kill it, and that
 * whatever is open then gets its response.
 */
class ShutdownEndTest extends SocketTest {

    private static final String STREAMING =
            "{'streaming':{'classes':{'export':{'max_answer_bytes':100000000},"
                    + "'append':{'max_request_bytes':100000000}},'drain_ms':10000}}";

    /** More bytes than the buffers of the sockets on the way to a client hold. */
    private static final int LONG_BODY_BYTES = 50_000_000;

    /** The read limit of 2 s ended after SIGKILL, so an unfinished request got no response. */
    @ParameterizedTest
    @ValueSource(strings = {"G", "POST /book/k1 HTTP/1.1\r\nContent-Length: 9\r\n\r\n12345678"})
    void unfinishedRequestIsRejected(String beginning) throws Exception {
        SidecarHarness harness =
                TimedShutdown.withShortDeadlines(harness(server(ScriptedPeer.SILENT))).start();
        TestClient client = harness.client().write(beginning);
        TimedShutdown shutdown = TimedShutdown.of(harness);
        assertEquals(503, client.readResponse().status());
        shutdown.assertStopsBeforeKill();
    }

    /** The process waited for clients that go on sending small pieces. */
    @Test
    void requestWhoseClientGoesOnSendingIsRejected() throws Exception {
        SidecarHarness harness =
                TimedShutdown.withShortDeadlines(harness(server(ScriptedPeer.SILENT))).start();
        TestClient client = harness.client().write("GET /search/");
        TimedShutdown shutdown = TimedShutdown.of(harness);
        assertThrows(
                IOException.class,
                () -> {
                    while (shutdown.millisSinceSignal() < TimedShutdown.KILL_MILLIS) {
                        client.write("k");
                        Thread.sleep(5);
                    }
                });
        shutdown.assertStopsBeforeKill();
    }

    /** Streams went on for their drain timeout, past SIGKILL. */
    @Test
    void streamedResponseIsAborted() throws Exception {
        ScriptedPeer server =
                server(
                        received ->
                                received.write(
                                        "HTTP/1.1 200 OK\r\nContent-Length: "
                                                + LONG_BODY_BYTES
                                                + "\r\n\r\nbeginning"));
        SidecarHarness harness =
                TimedShutdown.withShortDeadlines(harness(server).withExtensions(STREAMING)).start();
        RawConnection client = closeAfterTest(RawConnection.to(harness.address));
        client.write(TestClient.head("GET", "/export/k1", TimedShutdown.CLIENT_MILLIS, "", 0));
        assertEquals("HTTP/1.1 200 OK", client.head().startLine());
        TimedShutdown shutdown = TimedShutdown.of(harness);
        client.awaitEnd();
        shutdown.assertStopsBeforeKill();
    }

    /** The process waited for a client that does not read its response. */
    @Test
    void responseThatItsClientDoesNotReadIsAborted() throws Exception {
        ScriptedPeer server =
                server(ScriptedPeer.respondsWith("200 OK", "", "x".repeat(LONG_BODY_BYTES)));
        SidecarHarness harness =
                TimedShutdown.withShortDeadlines(harness(server).withExtensions(STREAMING)).start();
        RawConnection client = closeAfterTest(RawConnection.to(harness.address));
        client.write(TestClient.head("GET", "/export/k1", TimedShutdown.CLIENT_MILLIS, "", 0));
        server.take();
        TimedShutdown.of(harness).assertStopsBeforeKill();
        assertThrows(IOException.class, () -> client.text(LONG_BODY_BYTES));
    }

    /** An upload went on for its drain timeout, past SIGKILL. */
    @Test
    void unfinishedUploadIsAnswered() throws Exception {
        SidecarHarness harness =
                TimedShutdown.withShortDeadlines(
                                harness(server(ScriptedPeer.SILENT)).withExtensions(STREAMING))
                        .start();
        TestClient client = harness.client();
        client.write(
                TestClient.head(
                        "POST", "/append/k1", TimedShutdown.CLIENT_MILLIS, "", LONG_BODY_BYTES));
        client.write("beginning");
        TimedShutdown shutdown = TimedShutdown.of(harness);
        assertEquals(504, client.readResponse().status());
        shutdown.assertStopsBeforeKill();
    }

    /** The deadline of an upload counts from its last byte, and ended after SIGKILL. */
    @Test
    void uploadThatCompletesLateIsAnswered() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.SILENT);
        SidecarHarness harness =
                TimedShutdown.withShortDeadlines(harness(server).withExtensions(STREAMING)).start();
        int length = 70_000;
        TestClient client = harness.client();
        client.write(
                TestClient.head("POST", "/append/k1", TimedShutdown.CLIENT_MILLIS, "", length));
        client.write("x".repeat(length - 1));
        TimedShutdown shutdown = TimedShutdown.of(harness);
        Thread.sleep(800);
        client.write("x");
        server.take();
        assertEquals(504, client.readResponse().status());
        shutdown.assertStopsBeforeKill();
    }

    /** A connection that waits to be accepted at the connection limit was reset unanswered. */
    @Test
    void requestInListenQueueIsAnswered() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.SILENT);
        SidecarHarness harness =
                TimedShutdown.withShortDeadlines(harnessWithFewSockets(server)).start();
        List<TestClient> busy = new ArrayList<>();
        for (int i = 0; i < harness.config().maxClientConnections(); i++) {
            busy.add(harness.client().write("GET /search/"));
        }
        for (TestClient client : busy) {
            client.write("k");
        }
        TestClient waiting = harness.client().search(TimedShutdown.CLIENT_MILLIS);
        TimedShutdown shutdown = TimedShutdown.of(harness);
        while (shutdown.millisSinceSignal() < 900) {
            for (TestClient client : busy) {
                client.write("k");
            }
            Thread.sleep(100);
        }
        assertEquals(503, waiting.readResponse().status());
        assertEquals(503, busy.get(0).readResponse().status());
        shutdown.assertStopsBeforeKill();
    }

    /** A suspension of 0.15 s across the end must not cost a response. */
    @Test
    void responsesAreSentAfterLoopWasHeldUpAtEnd() throws Exception {
        SidecarHarness harness =
                TimedShutdown.withShortDeadlines(harness(server(ScriptedPeer.SILENT))).start();
        TestClient inFlight = harness.client().book("x", TimedShutdown.CLIENT_MILLIS);
        TestClient unfinished = harness.client().write("GET /search/");
        TimedShutdown shutdown = TimedShutdown.of(harness);
        Thread.sleep(shutdown.latestResponseMillis() - 5);
        harness.whileLoopIsStalled(() -> Thread.sleep(150), () -> {});
        assertEquals(504, inFlight.readResponse().status());
        assertEquals(503, unfinished.readResponse().status());
        shutdown.assertStopsBeforeKill();
    }

    /** The health check is answered up to the end. */
    @Test
    void healthCheckIsAnsweredUntilEnd() throws Exception {
        SidecarHarness harness =
                TimedShutdown.withShortDeadlines(harness(server(ScriptedPeer.SILENT))).start();
        TestClient unfinished = harness.client().write("GET /healthz HTTP/1.1\r\n");
        TimedShutdown shutdown = TimedShutdown.of(harness);
        Thread.sleep(900);
        unfinished.write("Host: a\r\n\r\n");
        assertEquals(503, unfinished.readResponse().status());
        shutdown.assertStopsBeforeKill();
    }
}
