package sagefall.proxy;

import java.io.IOException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests that clients which send at full speed, and come again when they are turned away, do not
 * keep the sidecar from serving others. The sidecar is a process with the memory options of the
 * deploy file; response times are measured.
 */
class FloodingClientsTest extends SocketTest {

    private static final int FLOODING_CLIENTS = 40;
    private static final long TIMEOUT_MILLIS = UsualRequests.TIMEOUT_MILLIS;
    private static final int USUAL_REQUESTS = 20;

    /** Number of chunks or requests that are written at once. */
    private static final int REPETITIONS = 200;

    /** Number of writes on one connection. */
    private static final int WRITES = 20;

    private static final String SMALL_CHUNKS = "1\r\nx\r\n".repeat(REPETITIONS);
    private static final String UNREADABLE = "noise\r\n\r\n".repeat(REPETITIONS);

    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";
    private static final String KEY = "Idempotency-Key: 00000000000000000000000000000001\r\n";

    /** What a client sends on each of its connections. */
    private enum Flood {
        STREAMED_UPLOAD_IN_CHUNKS_OF_ONE_BYTE {
            @Override
            String start() {
                return TestClient.head("POST", "/append/k1", TIMEOUT_MILLIS, CHUNKED, 0);
            }

            @Override
            String block() {
                return SMALL_CHUNKS;
            }
        },

        COLLECTED_BODY_IN_CHUNKS_OF_ONE_BYTE {
            @Override
            String start() {
                return TestClient.head("POST", "/hold/k1", TIMEOUT_MILLIS, KEY + CHUNKED, 0);
            }

            @Override
            String block() {
                return SMALL_CHUNKS;
            }
        },

        UNREADABLE_REQUESTS {
            @Override
            String block() {
                return UNREADABLE;
            }
        },

        PIPELINED_REQUESTS_WITH_NEW_NAMES {
            @Override
            String block() {
                StringBuilder requests = new StringBuilder();
                for (int i = 0; i < REPETITIONS; i++) {
                    requests.append(request());
                }
                return requests.toString();
            }

            private static String request() {
                String id = TestClient.id();
                return TestClient.head("GET", "/class-" + id, 1, "Name-" + id + ": 1\r\n", 0)
                        .replace("acme", "tenant-" + id);
            }
        };

        String start() {
            return "";
        }

        /** Returns what is written again and again. */
        abstract String block();
    }

    private volatile boolean flooding = true;

    private SidecarProgram startSidecar() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.respondsOk("ok"));
        SidecarHarness harness = harness(server);
        return closeAfterTest(
                new SidecarProgram(harness, SidecarProgram.memoryOptionsOfRunCommand())
                        .withExtensions(StreamingSocketTest.streaming(""))
                        .start());
    }

    /** Sends on one connection after the other until the test ends the flood. */
    private void flood(SidecarProgram program, Flood kind) {
        while (flooding) {
            try (TestClient client = new TestClient(program.address)) {
                client.write(kind.start());
                for (int i = 0; i < WRITES && flooding; i++) {
                    client.write(kind.block());
                }
            } catch (IOException e) {
                // The sidecar has closed the connection; the client comes again.
            }
        }
    }

    /**
     * Guards against a fault in which chunks of one byte kept the event loop busy, so that nobody
     * was answered: streamed uploads had no limit, and input of clients that had left was decoded.
     * The other kinds had no such effect.
     */
    @ParameterizedTest
    @EnumSource
    void usualRequestsAreServedDuringAFlood(Flood kind) throws Exception {
        SidecarProgram program = startSidecar();
        closeAfterTest(program.connect());
        ExecutorService clients = Executors.newFixedThreadPool(FLOODING_CLIENTS);
        closeAfterTest(clients::shutdownNow);
        for (int i = 0; i < FLOODING_CLIENTS; i++) {
            clients.execute(() -> flood(program, kind));
        }
        try {
            UsualRequests.assertServed(program, USUAL_REQUESTS);
        } finally {
            flooding = false;
        }
    }
}
