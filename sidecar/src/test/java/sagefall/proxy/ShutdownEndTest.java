package sagefall.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks that a sidecar that shuts down ends by itself before the platform may kill it, and that
 * whatever is open then gets its response. The longest deadline of the settings is 0.7 s here, so
 * SIGKILL may come 1.4 s after the signal.
 */
class ShutdownEndTest extends SocketTest {

    private static final long KILL_MILLIS = 1_400;

    /** A client's time that ends long after SIGKILL. */
    private static final long CLIENT_MILLIS = 10_000;

    private static final String STREAMING =
            "{'streaming':{'classes':{'export':{'max_answer_bytes':100000000},"
                    + "'append':{'max_request_bytes':100000000}},'drain_ms':10000}}";

    /** More bytes than the buffers of the sockets on the way to a client hold. */
    private static final int LONG_BODY_BYTES = 50_000_000;

    private long stoppedAtNanos;

    private SidecarHarness startWith(SidecarHarness harness) throws Exception {
        return harness.withConfig("'deadline_us':3000000", "'deadline_us':700000").start();
    }

    private CountDownLatch stop(SidecarHarness harness) {
        stoppedAtNanos = System.nanoTime();
        return harness.stop();
    }

    private long millisSinceStop() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - stoppedAtNanos);
    }

    private void assertStopsBeforeKill(CountDownLatch stopped) throws InterruptedException {
        assertTrue(
                stopped.await(KILL_MILLIS - millisSinceStop(), TimeUnit.MILLISECONDS),
                "SIGKILL would have found the process running");
    }

    /** The read limit of 2 s ended after SIGKILL, so an unfinished request got no response. */
    @ParameterizedTest
    @ValueSource(strings = {"G", "POST /book/k1 HTTP/1.1\r\nContent-Length: 9\r\n\r\n12345678"})
    void unfinishedRequestIsRejected(String beginning) throws Exception {
        SidecarHarness harness = startWith(harness(server(ScriptedPeer.SILENT)));
        TestClient client = harness.client().write(beginning);
        CountDownLatch stopped = stop(harness);
        assertEquals(503, client.readResponse().status());
        assertStopsBeforeKill(stopped);
    }

    /** The process waited for clients that go on sending small pieces. */
    @Test
    void requestWhoseClientGoesOnSendingIsRejected() throws Exception {
        SidecarHarness harness = startWith(harness(server(ScriptedPeer.SILENT)));
        TestClient client = harness.client().write("GET /search/");
        CountDownLatch stopped = stop(harness);
        assertThrows(
                IOException.class,
                () -> {
                    while (millisSinceStop() < KILL_MILLIS) {
                        client.write("k");
                        Thread.sleep(5);
                    }
                });
        assertStopsBeforeKill(stopped);
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
        SidecarHarness harness = startWith(harness(server).withExtensions(STREAMING));
        RawConnection client = closeAfterTest(RawConnection.to(harness.address));
        client.write(TestClient.head("GET", "/export/k1", CLIENT_MILLIS, "", 0));
        assertEquals("HTTP/1.1 200 OK", client.head().startLine());
        CountDownLatch stopped = stop(harness);
        client.awaitEnd();
        assertStopsBeforeKill(stopped);
    }

    /** The process waited for a client that does not read its response. */
    @Test
    void responseThatItsClientDoesNotReadIsAborted() throws Exception {
        ScriptedPeer server =
                server(ScriptedPeer.respondsWith("200 OK", "", "x".repeat(LONG_BODY_BYTES)));
        SidecarHarness harness = startWith(harness(server).withExtensions(STREAMING));
        RawConnection client = closeAfterTest(RawConnection.to(harness.address));
        client.write(TestClient.head("GET", "/export/k1", CLIENT_MILLIS, "", 0));
        server.take();
        assertStopsBeforeKill(stop(harness));
        assertThrows(IOException.class, () -> client.text(LONG_BODY_BYTES));
    }

    /** An upload went on for its drain timeout, past SIGKILL. */
    @Test
    void unfinishedUploadIsAnswered() throws Exception {
        SidecarHarness harness =
                startWith(harness(server(ScriptedPeer.SILENT)).withExtensions(STREAMING));
        TestClient client = harness.client();
        client.write(TestClient.head("POST", "/append/k1", CLIENT_MILLIS, "", LONG_BODY_BYTES));
        client.write("beginning");
        CountDownLatch stopped = stop(harness);
        assertEquals(504, client.readResponse().status());
        assertStopsBeforeKill(stopped);
    }

    /** The deadline of an upload counts from its last byte, and ended after SIGKILL. */
    @Test
    void uploadThatCompletesLateIsAnswered() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.SILENT);
        SidecarHarness harness = startWith(harness(server).withExtensions(STREAMING));
        int length = 70_000;
        TestClient client = harness.client();
        client.write(TestClient.head("POST", "/append/k1", CLIENT_MILLIS, "", length));
        client.write("x".repeat(length - 1));
        CountDownLatch stopped = stop(harness);
        Thread.sleep(800);
        client.write("x");
        server.take();
        assertEquals(504, client.readResponse().status());
        assertStopsBeforeKill(stopped);
    }

    /** A connection that waits to be accepted at the connection limit was reset unanswered. */
    @Test
    void requestInListenQueueIsAnswered() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.SILENT);
        SidecarHarness harness = startWith(harnessWithFewSockets(server));
        List<TestClient> busy = new ArrayList<>();
        for (int i = 0; i < harness.config().maxClientConnections(); i++) {
            busy.add(harness.client().write("GET /search/"));
        }
        for (TestClient client : busy) {
            client.write("k");
        }
        TestClient waiting = harness.client().search(CLIENT_MILLIS);
        CountDownLatch stopped = stop(harness);
        while (millisSinceStop() < 900) {
            for (TestClient client : busy) {
                client.write("k");
            }
            Thread.sleep(100);
        }
        assertEquals(503, waiting.readResponse().status());
        assertEquals(503, busy.get(0).readResponse().status());
        assertStopsBeforeKill(stopped);
    }

    /** A suspension of 0.15 s across the end must not cost a response. */
    @Test
    void responsesAreSentAfterLoopWasHeldUpAtEnd() throws Exception {
        SidecarHarness harness = startWith(harness(server(ScriptedPeer.SILENT)));
        TestClient inFlight = harness.client().book("x", CLIENT_MILLIS);
        TestClient unfinished = harness.client().write("GET /search/");
        ShutdownSchedule schedule = harness.sidecar.shutdownSchedule(System.nanoTime());
        CountDownLatch stopped = stop(harness);
        Thread.sleep(schedule.latestResponseMillis() - 5);
        harness.whileLoopIsStalled(() -> Thread.sleep(150), () -> {});
        assertEquals(504, inFlight.readResponse().status());
        assertEquals(503, unfinished.readResponse().status());
        assertStopsBeforeKill(stopped);
    }

    /** The health check is answered up to the end. */
    @Test
    void healthCheckIsAnsweredUntilEnd() throws Exception {
        SidecarHarness harness = startWith(harness(server(ScriptedPeer.SILENT)));
        TestClient unfinished = harness.client().write("GET /healthz HTTP/1.1\r\n");
        CountDownLatch stopped = stop(harness);
        Thread.sleep(900);
        unfinished.write("Host: a\r\n\r\n");
        assertEquals(503, unfinished.readResponse().status());
        assertStopsBeforeKill(stopped);
    }
}
