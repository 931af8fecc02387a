package sagefall.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests that clients which stop in the middle of a message and stay do not keep the sidecar from
 * serving others. The sidecar is a process with the memory options of the deploy file; response
 * times are measured.
 */
class StoppedPeersTest extends SocketTest {

    /** Number of clients that stop; with usual clients fewer than a third of the descriptors. */
    private static final int STOPPED_CLIENTS = 240;

    /** Number of clients that stop if they alone reach the limit of connections. */
    private static final int MANY_STOPPED_CLIENTS = 1_000;

    private static final int STATED_BYTES = 65_000;
    private static final int SENT_BYTES = 64_000;

    private static final long TIMEOUT_MILLIS = UsualRequests.TIMEOUT_MILLIS;

    private static final int USUAL_REQUESTS = 40;

    /** What a client sends before it stops. */
    private enum StoppedRequest {
        BODY_OF_STATED_LENGTH {
            @Override
            List<String> parts() {
                return List.of(bodyHead(STATED_BYTES) + "x".repeat(SENT_BYTES));
            }
        },

        BODY_IN_CHUNKS {
            @Override
            List<String> parts() {
                String chunk = "fa0\r\n" + "x".repeat(0xfa0) + "\r\n";
                return List.of(chunkedHead() + chunk.repeat(SENT_BYTES / 0xfa0));
            }
        },

        BODY_IN_CHUNKS_OF_ONE_BYTE {
            @Override
            List<String> parts() {
                return List.of(chunkedHead() + "1\r\nx\r\n".repeat(SENT_BYTES));
            }
        },

        BODY_IN_SMALL_PIECES {
            @Override
            List<String> parts() {
                List<String> parts = new ArrayList<>(List.of(bodyHead(STATED_BYTES)));
                for (int i = 0; i < 40; i++) {
                    parts.add("x".repeat(10));
                }
                parts.add("x".repeat(SENT_BYTES - 400));
                return parts;
            }
        },

        LINE_OF_A_HEAD {
            @Override
            List<String> parts() {
                return List.of(
                        "POST /hold/k1 HTTP/1.1\r\nHost: a\r\n", "Name: " + "x".repeat(8_000));
            }
        },

        HEAD_OF_MANY_FIELDS {
            @Override
            List<String> parts() {
                return List.of("POST /hold/k1 HTTP/1.1\r\n" + "a:b\r\n".repeat(2_000));
            }
        };

        /** Returns the parts that are written one after the other. */
        abstract List<String> parts();

        private static String bodyHead(int length) {
            return TestClient.head(
                    "POST", "/hold/k1", TIMEOUT_MILLIS, "Idempotency-Key: k\r\n", length);
        }

        private static String chunkedHead() {
            return TestClient.head(
                    "POST",
                    "/hold/k1",
                    TIMEOUT_MILLIS,
                    "Idempotency-Key: k\r\nTransfer-Encoding: chunked\r\n",
                    0);
        }
    }

    private SidecarProgram program;
    private final List<TestClient> stopped = new ArrayList<>();

    @BeforeEach
    void startSidecar() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.respondsOk("ok"));
        program =
                closeAfterTest(
                        new SidecarProgram(
                                        harness(server), SidecarProgram.memoryOptionsOfRunCommand())
                                .start());
        closeAfterTest(program.connect());
    }

    private void stopInRequests(StoppedRequest request, int clients) throws IOException {
        for (int i = 0; i < clients; i++) {
            TestClient client = closeAfterTest(new TestClient(program.address));
            stopped.add(client);
            try {
                for (String part : request.parts()) {
                    client.write(part);
                }
            } catch (IOException e) {
                // The sidecar may have closed the connection already.
            }
        }
    }

    /** Sends requests for two seconds, each on a connection of its own. */
    private void assertUsualRequestsAreServed() throws Exception {
        UsualRequests.assertServed(program, USUAL_REQUESTS);
    }

    private void assertHealthy() throws IOException {
        try (TestClient client = new TestClient(program.address)) {
            assertEquals(200, client.healthCheck().readResponse().status());
        }
    }

    /**
     * Guards against a fault in which clients that stopped in the middle of a request used up the
     * direct memory: the event loop then waited at each read, and nobody was answered.
     */
    @ParameterizedTest
    @EnumSource
    void usualRequestsAreServedWhileClientsStopInRequests(StoppedRequest request) throws Exception {
        stopInRequests(request, STOPPED_CLIENTS);
        assertUsualRequestsAreServed();
        assertHealthy();
        assertNoMemoryError();
    }

    private void assertNoMemoryError() throws IOException {
        List<String> errors =
                program.output().stream().filter(line -> line.contains("OutOfMemory")).toList();
        assertEquals(List.of(), errors);
    }

    /**
     * Guards against a fault in which stopped clients occupied all connections until their time for
     * sending a request was over, and the requests of others were not read meanwhile.
     */
    @Test
    void usualRequestsAreServedWhileStoppedClientsReachTheConnectionLimit() throws Exception {
        stopInRequests(StoppedRequest.LINE_OF_A_HEAD, MANY_STOPPED_CLIENTS);
        assertUsualRequestsAreServed();
        assertHealthy();
        assertNoMemoryError();
    }

    /** A sound client pauses between the pieces of its body while clients have stopped. */
    @Test
    void largeBodyInPiecesIsServedWhileClientsStopInRequests() throws Exception {
        stopInRequests(StoppedRequest.BODY_OF_STATED_LENGTH, STOPPED_CLIENTS);
        for (int i = 0; i < 5; i++) {
            try (TestClient client = new TestClient(program.address)) {
                client.write(StoppedRequest.bodyHead(4 * 16_000));
                for (int piece = 0; piece < 4; piece++) {
                    client.write("x".repeat(16_000));
                    Thread.sleep(200);
                }
                assertEquals(200, client.readResponse().status());
            }
        }
    }

    @Test
    void stoppedClientsGetAnErrorOrACloseInTime() throws Exception {
        long startNanos = System.nanoTime();
        stopInRequests(StoppedRequest.BODY_OF_STATED_LENGTH, STOPPED_CLIENTS);
        for (TestClient client : stopped) {
            assertEquals(true, endsWithError(client.socket));
        }
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        assertTrue(elapsedMillis < 3_000, elapsedMillis + " ms");
    }

    private static boolean endsWithError(Socket socket) {
        try {
            byte[] start = socket.getInputStream().readNBytes("HTTP/1.1 4".length());
            String text = new String(start, StandardCharsets.US_ASCII);
            return text.isEmpty() || text.equals("HTTP/1.1 4") || text.equals("HTTP/1.1 5");
        } catch (IOException e) {
            return true;
        }
    }

    /** Stopped clients delay neither the response to a request in flight nor the exit. */
    @Test
    void stoppedClientsDoNotDelayTheShutdown() throws Exception {
        stopInRequests(StoppedRequest.BODY_OF_STATED_LENGTH, STOPPED_CLIENTS);
        TestClient client = closeAfterTest(new TestClient(program.address));
        program.signal("TERM");
        long startNanos = System.nanoTime();
        assertEquals(200, client.search(TIMEOUT_MILLIS).readResponse().status());
        program.assertExitCode(0);
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        assertTrue(elapsedMillis < 3_700, elapsedMillis + " ms");
    }

    /**
     * Guards against a fault in which a client that goes on sending after its response kept a
     * process that shuts down for 5 s.
     */
    @Test
    void clientThatGoesOnSendingDoesNotDelayTheShutdown() throws Exception {
        TestClient client = closeAfterTest(new TestClient(program.address));
        client.write("no request\r\n\r\n");
        assertEquals(400, client.readResponse().status());
        program.signal("TERM");
        long startNanos = System.nanoTime();
        long elapsedMillis = 0;
        while (elapsedMillis < 10_000 && writes(client)) {
            Thread.sleep(UsualRequests.INTERVAL_MILLIS);
            elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        }
        program.assertExitCode(0);
        assertTrue(elapsedMillis < 3_000, elapsedMillis + " ms");
    }

    private static boolean writes(TestClient client) {
        try {
            client.write("x");
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
