package sagefall.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Checks that a request gets its response before the platform may kill the process that shuts down,
 * whatever the client's own time is.
 */
class ShutdownDeadlineTest extends SocketTest {

    private ScriptedPeer server;
    private SidecarHarness harness;

    @BeforeEach
    void startSidecar() throws Exception {
        server = server(ScriptedPeer.SILENT);
        harness = TimedShutdown.withShortDeadlines(harness(server)).start();
    }

    /** Review 9: a request that came whole late was forwarded with its full time, past SIGKILL. */
    @Test
    void requestThatArrivesLateIsAnsweredBeforeKill() throws Exception {
        TestClient client = harness.client();
        String request =
                TestClient.head("POST", "/book/k1", TimedShutdown.CLIENT_MILLIS, "", 1) + "x";
        TimedShutdown shutdown = TimedShutdown.of(harness);
        shutdown.sleepUntil(300);
        client.write(request.substring(0, request.length() / 2));
        shutdown.sleepUntil(800);
        client.write(request.substring(request.length() / 2));
        assertEquals("POST /book/k1 HTTP/1.1", server.take().request().startLine());
        assertEquals(504, client.readResponse().status());
        shutdown.assertNotKilledYet();
        shutdown.assertStopsBeforeKill();
    }

    /** A quick server still serves a request that arrives late. */
    @Test
    void requestThatArrivesLateIsServedByQuickServer() throws Exception {
        server.script(ScriptedPeer.respondsOk("quick"));
        TestClient client = harness.client();
        TimedShutdown shutdown = TimedShutdown.of(harness);
        shutdown.sleepUntil(300);
        client.write("GET /search/k1 HT");
        shutdown.sleepUntil(800);
        client.write(
                TestClient.head("GET", "/search/k1", TimedShutdown.CLIENT_MILLIS, "", 0)
                        .substring("GET /search/k1 HT".length()));
        assertEquals("quick", client.readResponse().body());
        shutdown.assertStopsBeforeKill();
    }

    /** A request that was open at the signal kept its full time, past SIGKILL. */
    @Test
    void requestInFlightAtSignalIsAnsweredBeforeKill() throws Exception {
        TestClient client = harness.client().book("x", TimedShutdown.CLIENT_MILLIS);
        server.take();
        TimedShutdown shutdown = TimedShutdown.of(harness);
        assertEquals(504, client.readResponse().status());
        shutdown.assertNotKilledYet();
        shutdown.assertStopsBeforeKill();
    }

    /** A retry kept the full time of its request, past SIGKILL. */
    @Test
    void retryInFlightAtSignalIsAnsweredBeforeKill() throws Exception {
        harness.close();
        BlockingQueue<ReceivedRequest> attempts = new LinkedBlockingQueue<>();
        harness = harness(server(attempts::add), server(attempts::add));
        TimedShutdown.withShortDeadlines(harness).start();
        TestClient client = harness.client().search(TimedShutdown.CLIENT_MILLIS);
        attempts.take().respond("503 Service Unavailable", "Not-Started: 1\r\n", "");
        attempts.take();
        TimedShutdown shutdown = TimedShutdown.of(harness);
        assertEquals(503, client.readResponse().status());
        shutdown.assertNotKilledYet();
        shutdown.assertStopsBeforeKill();
    }

    /** A request with too little time left is rejected, and no server begins it. */
    @Test
    void requestThatArrivesJustBeforeEndIsRejectedWithoutAttempt() throws Exception {
        TestClient client = harness.client();
        String request =
                TestClient.head("POST", "/book/k1", TimedShutdown.CLIENT_MILLIS, "", 1) + "x";
        TimedShutdown shutdown = TimedShutdown.of(harness);
        shutdown.sleepUntil(300);
        client.write(request.substring(0, request.length() / 2));
        shutdown.sleepUntil(shutdown.latestResponseMillis() - 5);
        client.write(request.substring(request.length() / 2));
        assertEquals(503, client.readResponse().status());
        shutdown.assertStopsBeforeKill();
        assertTrue(server.receivedRequests.isEmpty());
    }
}
