package sagefall.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests that clients which stop in the middle of streamed uploads, or send them a byte at a time,
 * and come again when they are turned away, do not keep the sidecar from serving others. The
 * sidecar is a process with the memory options of the deploy file and few descriptors; response
 * times are measured.
 */
class StoppedUploadsTest extends SocketTest {

    private static final int SOCKETS = 256;

    /** The JVM keeps the files of the test's class path open. */
    private static final int DESCRIPTORS = SOCKETS + 64;

    /** Number of clients of each kind; together several times the connection limit. */
    private static final int CLIENTS_OF_EACH_KIND = 100;

    private static final long TIMEOUT_MILLIS = UsualRequests.TIMEOUT_MILLIS;
    private static final int USUAL_REQUESTS = 30;
    private static final long POLL_MILLIS = 50;

    /** Memory limit of a sidecar on the scored days. */
    private static final long MAX_RESIDENT_KIB = 192 * 1_024;

    /** The default {@code drain_ms} of streams, and the time for reading on after it. */
    private static final long MAX_SHUTDOWN_MILLIS = 2_500 + 1_200;

    private static final int SOUND_UPLOAD_CHUNKS = 40;

    private static final String BY_LENGTH = "Content-Length: 60000000\r\n";
    private static final String IN_CHUNKS = "Transfer-Encoding: chunked\r\n";

    /** What a client sends at the beginning, and then every 50 ms. */
    private enum Upload {
        STOPS_BY_LENGTH(BY_LENGTH, "x".repeat(30_000), ""),
        STOPS_IN_CHUNKS(IN_CHUNKS, "fa0\r\n" + "x".repeat(2_000), ""),
        SENDS_BYTES_BY_LENGTH(BY_LENGTH, "", "x"),
        SENDS_BYTES_IN_CHUNKS(IN_CHUNKS, "", "1\r\nx\r\n");

        private final String framing;
        private final String start;
        private final String piece;

        Upload(String framing, String start, String piece) {
            this.framing = framing;
            this.start = start;
            this.piece = piece;
        }

        private String head() {
            return uploadHead(framing);
        }
    }

    private SidecarProgram program;

    private static String uploadHead(String framing) {
        return TestClient.head("POST", "/append/k1", TIMEOUT_MILLIS, framing, 0);
    }

    @BeforeEach
    void startSidecar() throws Exception {
        SaveServerPeer server = closeAfterTest(new SaveServerPeer());
        SidecarHarness harness =
                closeAfterTest(new SidecarHarness(folder, List.of(server.port())))
                        .withConfig("'sockets':1024", "'sockets':" + SOCKETS);
        program =
                closeAfterTest(
                        new SidecarProgram(harness, SidecarProgram.memoryOptionsOfRunCommand())
                                .withExtensions(StreamingSocketTest.streaming(""))
                                .withDescriptorLimit(DESCRIPTORS)
                                .start());
        closeAfterTest(program.connect());
    }

    private List<RepeatingClients> startUploads() {
        List<RepeatingClients> clients = new ArrayList<>();
        for (Upload upload : Upload.values()) {
            clients.add(
                    closeAfterTest(
                            new RepeatingClients(
                                    program.address,
                                    CLIENTS_OF_EACH_KIND,
                                    () -> upload.head() + upload.start,
                                    upload.piece)));
        }
        return clients;
    }

    private void awaitLine(String event) throws Exception {
        while (program.output().stream().noneMatch(line -> line.contains(event))) {
            Thread.sleep(POLL_MILLIS);
        }
    }

    /**
     * Guards against a fault in which uploads that had stopped took the places of all open
     * requests, so that every other request got a 503 for as long as they stayed.
     */
    @Test
    void usualRequestsAreServedBesideStoppedUploads() throws Exception {
        List<RepeatingClients> clients = startUploads();
        awaitLine("WARN upload_limit_reached ");
        UsualRequests.assertServed(program, USUAL_REQUESTS);
        for (RepeatingClients kind : clients) {
            assertTrue(kind.connections() > CLIENTS_OF_EACH_KIND, "no upload was turned away");
        }
        assertTrue(program.residentKib() < MAX_RESIDENT_KIB, program.residentKib() + " KiB");
        assertShutdownServesAndEnds();
    }

    /** Asserts that a request on an open connection is served after SIGTERM, and the exit. */
    private void assertShutdownServesAndEnds() throws Exception {
        try (TestClient client = new TestClient(program.address)) {
            program.signal("TERM");
            long startNanos = System.nanoTime();
            assertEquals(200, client.search(TIMEOUT_MILLIS).readResponse().status());
            program.assertExitCode(0);
            long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            assertTrue(elapsedMillis < MAX_SHUTDOWN_MILLIS, elapsedMillis + " ms");
        }
    }

    /**
     * An upload that makes progress is neither ended nor kept out by uploads that have stopped and
     * stay. The clients that stop do not come again here: new uploads share the places that are
     * free, whoever sends them.
     */
    @Test
    void soundUploadTakesThePlaceOfStoppedOnes() throws Exception {
        for (int i = 0; i < CLIENTS_OF_EACH_KIND; i++) {
            TestClient stopped = closeAfterTest(new TestClient(program.address));
            stopped.write(Upload.STOPS_IN_CHUNKS.head() + Upload.STOPS_IN_CHUNKS.start);
        }
        awaitLine("WARN upload_limit_reached ");
        Thread.sleep(1_000);
        try (TestClient client = new TestClient(program.address)) {
            client.write(uploadHead(IN_CHUNKS));
            for (int i = 0; i < SOUND_UPLOAD_CHUNKS; i++) {
                client.write("200\r\n" + "x".repeat(0x200) + "\r\n");
                Thread.sleep(UsualRequests.INTERVAL_MILLIS);
            }
            client.write("0\r\n\r\n");
            assertEquals(200, client.readResponse().status());
        }
    }
}
