package sagefall.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Checks that a request gets its response before the platform may kill the process that shuts down,
 * whatever the client's own time is. The longest deadline of the settings is 0.7 s here, so SIGKILL
 * may come 1.4 s after the signal.
 */
class ShutdownDeadlineTest extends SocketTest {

    private static final long KILL_MILLIS = 1_400;

    /** A client's time that ends long after SIGKILL. */
    private static final long CLIENT_MILLIS = 10_000;

    private ScriptedPeer server;
    private SidecarHarness harness;
    private long stoppedAtNanos;

    @BeforeEach
    void startSidecar() throws Exception {
        server = server(ScriptedPeer.SILENT);
        harness = harness(server).withConfig("'deadline_us':3000000", "'deadline_us':700000");
        harness.start();
    }

    private CountDownLatch stop() {
        stoppedAtNanos = System.nanoTime();
        return harness.stop();
    }

    private long millisSinceStop() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - stoppedAtNanos);
    }

    private void sleepUntil(long millisAfterStop) throws InterruptedException {
        Thread.sleep(Math.max(0, millisAfterStop - millisSinceStop()));
    }

    private void assertStopsBeforeKill(CountDownLatch stopped) throws InterruptedException {
        assertTrue(stopped.await(KILL_MILLIS - millisSinceStop(), TimeUnit.MILLISECONDS));
    }

    /** Review 9: a request that came whole late was forwarded with its full time, past SIGKILL. */
    @Test
    void requestThatArrivesLateIsAnsweredBeforeKill() throws Exception {
        TestClient client = harness.client();
        String request = TestClient.head("POST", "/book/k1", CLIENT_MILLIS, "", 1) + "x";
        CountDownLatch stopped = stop();
        sleepUntil(300);
        client.write(request.substring(0, request.length() / 2));
        sleepUntil(800);
        client.write(request.substring(request.length() / 2));
        assertEquals("POST /book/k1 HTTP/1.1", server.take().request().startLine());
        assertEquals(504, client.readResponse().status());
        assertTrue(millisSinceStop() < KILL_MILLIS, millisSinceStop() + " ms");
        assertStopsBeforeKill(stopped);
    }

    /** A quick server still serves a request that arrives late. */
    @Test
    void requestThatArrivesLateIsServedByQuickServer() throws Exception {
        server.script(ScriptedPeer.respondsOk("quick"));
        TestClient client = harness.client();
        CountDownLatch stopped = stop();
        sleepUntil(300);
        client.write("GET /search/k1 HT");
        sleepUntil(800);
        client.write(
                TestClient.head("GET", "/search/k1", CLIENT_MILLIS, "", 0)
                        .substring("GET /search/k1 HT".length()));
        assertEquals("quick", client.readResponse().body());
        assertStopsBeforeKill(stopped);
    }

    /** A request that was open at the signal kept its full time, past SIGKILL. */
    @Test
    void requestInFlightAtSignalIsAnsweredBeforeKill() throws Exception {
        TestClient client = harness.client().book("x", CLIENT_MILLIS);
        server.take();
        CountDownLatch stopped = stop();
        assertEquals(504, client.readResponse().status());
        assertTrue(millisSinceStop() < KILL_MILLIS, millisSinceStop() + " ms");
        assertStopsBeforeKill(stopped);
    }

    /** A retry kept the full time of its request, past SIGKILL. */
    @Test
    void retryInFlightAtSignalIsAnsweredBeforeKill() throws Exception {
        harness.close();
        BlockingQueue<ReceivedRequest> attempts = new LinkedBlockingQueue<>();
        harness = harness(server(attempts::add), server(attempts::add));
        harness.withConfig("'deadline_us':3000000", "'deadline_us':700000").start();
        TestClient client = harness.client().search(CLIENT_MILLIS);
        attempts.take().respond("503 Service Unavailable", "Not-Started: 1\r\n", "");
        attempts.take();
        CountDownLatch stopped = stop();
        assertEquals(503, client.readResponse().status());
        assertTrue(millisSinceStop() < KILL_MILLIS, millisSinceStop() + " ms");
        assertStopsBeforeKill(stopped);
    }

    /** A request with too little time left is rejected, and no server begins it. */
    @Test
    void requestThatArrivesJustBeforeEndIsRejectedWithoutAttempt() throws Exception {
        TestClient client = harness.client();
        String request = TestClient.head("POST", "/book/k1", CLIENT_MILLIS, "", 1) + "x";
        ShutdownSchedule schedule = harness.sidecar.shutdownSchedule(System.nanoTime());
        CountDownLatch stopped = stop();
        sleepUntil(300);
        client.write(request.substring(0, request.length() / 2));
        sleepUntil(schedule.latestResponseMillis() - 5);
        client.write(request.substring(request.length() / 2));
        assertEquals(503, client.readResponse().status());
        assertStopsBeforeKill(stopped);
        assertTrue(server.receivedRequests.isEmpty());
    }
}
