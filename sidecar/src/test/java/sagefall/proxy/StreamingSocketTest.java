package sagefall.proxy;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.BeforeEach;
import sagefall.streaming.StreamingSettings;

/**
 * Base class of tests of streamed bodies with real sockets. A test has one server, one sidecar and
 * one client. The test itself writes and reads the bytes of the server and the client. The test
 * waits for events instead of fixed times.
 */
abstract class StreamingSocketTest extends SocketTest {

    /**
     * Extensions that stream the responses of the request class {@code export} and the uploads of
     * the request class {@code append}. {@link #streaming} replaces {@code MORE}.
     */
    static final String STREAMING =
            "{'streaming':{'classes':{'export':{'max_answer_bytes':100000000},"
                    + "'append':{'max_request_bytes':100000000}}MORE}}";

    /** Size in bytes of a body that exceeds all buffers. */
    static final int BIG_BODY_BYTES = 3_000_000;

    /** Further settings of the section {@code streaming} that allow buffers for only one stream. */
    static final String BUFFERS_FOR_ONE_STREAM =
            ",'high_watermark_bytes':1000,'replay_bytes':0,"
                    + "'max_buffered_bytes':"
                    + (1000 + 2 * StreamingSettings.READ_BYTES);

    static final String OK_CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    static final String OK_WITHOUT_BODY = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    static final String NOT_STARTED =
            "HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";
    static final String LAST_CHUNK = "0\r\n\r\n";

    RawConnection.Server server;
    SidecarHarness harness;
    RawConnection client;

    @BeforeEach
    final void startServer() throws IOException {
        server = closeAfterTest(new RawConnection.Server());
    }

    /** Creates a sidecar that has the server as its endpoint, without starting the sidecar. */
    final SidecarHarness newHarness() throws Exception {
        harness = closeAfterTest(new SidecarHarness(folder, List.of(server.port())));
        return harness;
    }

    /** Starts the sidecar of the harness and connects the client. */
    final void start(SidecarHarness configured) throws Exception {
        configured.start();
        client = connect();
    }

    /**
     * Starts a sidecar with streaming and connects the client.
     *
     * @param settings further settings of the section {@code streaming}, with a comma before each
     */
    final void start(String settings) throws Exception {
        start(newHarness().withExtensions(streaming(settings)));
    }

    /** Returns {@link #STREAMING} with further settings, each with a comma before it. */
    static String streaming(String settings) {
        return STREAMING.replace("MORE", settings);
    }

    /** Connects a further client. */
    final RawConnection connect() throws IOException {
        return closeAfterTest(RawConnection.to(harness.address));
    }

    /** Returns a request of the request class {@code export}, whose responses are streamed. */
    static String exportRequest(long timeoutMillis) {
        return TestClient.head("GET", "/export/k1", timeoutMillis, "", 0);
    }

    /**
     * Sends a request with a streamed response.
     *
     * @return the server's connection, after reading the head of the request
     */
    final RawConnection sendExport(RawConnection from) throws Exception {
        from.write(exportRequest(2_000));
        return acceptRequest();
    }

    /**
     * Sends a request with a streamed response. The server then writes the head and the first three
     * bytes of the response, and the client reads the head.
     *
     * @return the server's connection
     */
    final RawConnection startedExport() throws Exception {
        RawConnection upstream = sendExport(client);
        upstream.write(OK_CHUNKED).chunk("abc");
        client.head();
        return upstream;
    }

    /** Returns the server's next connection after reading the head of the request. */
    final RawConnection acceptRequest() throws Exception {
        RawConnection upstream = server.take();
        upstream.head();
        return upstream;
    }

    /** Returns the head of a request of the request class {@code append}: a streamed upload. */
    static String appendRequest(String framing) {
        return TestClient.head("POST", "/append/k1", 2_000, framing + "\r\n", 0);
    }

    /**
     * Sends the first 5 bytes of an upload of 100 000 bytes.
     *
     * @return the server's connection, after reading these bytes
     */
    final RawConnection startedUpload() throws Exception {
        client.write(appendRequest("Content-Length: 100000") + "begin");
        RawConnection upstream = acceptRequest();
        upstream.text(5);
        return upstream;
    }

    /** Sends an upload's first chunk; returns the server's connection after reading the chunk. */
    final RawConnection startedUpload(String chunk) throws Exception {
        client.write(appendRequest("Transfer-Encoding: chunked")).chunk(chunk);
        RawConnection upstream = acceptRequest();
        assertEquals(chunk, new String(upstream.chunk(), UTF_8));
        return upstream;
    }

    /** Reads a body in 300 parts of equal size and checks each part. */
    static void assertBodyArrives(byte[] body, RawConnection from) throws IOException {
        int partLength = body.length / 300;
        for (int start = 0; start < body.length; start += partLength) {
            assertArrayEquals(
                    Arrays.copyOfRange(body, start, start + partLength), from.bytes(partLength));
        }
    }

    /** Returns pseudorandom bytes with a fixed seed. */
    static byte[] randomBytes(int length) {
        byte[] bytes = new byte[length];
        new Random(7).nextBytes(bytes);
        return bytes;
    }

    /** Writes a message or a part of it. */
    interface BodyWriter {
        /** Writes everything; throws if the connection closes. */
        void write() throws IOException;
    }

    /** Writes on a separate thread until the peer closes the connection. */
    static Thread writeInBackground(BodyWriter writer) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                writer.write();
                            } catch (IOException e) {
                                // The test checks on the receiving side whether bytes are missing.
                            }
                        });
        thread.start();
        return thread;
    }

    /** Reads the head of a response and checks its status. */
    static void assertStatus(int status, RawConnection from) throws IOException {
        assertEquals("HTTP/1.1 " + HttpResponseStatus.valueOf(status), from.head().startLine());
    }

    /**
     * Stops the sidecar and checks the peak of the buffered bytes. The peak is at least the high
     * watermark of 5000 bytes. It exceeds the high watermark by less than the bytes of two reads.
     */
    final void assertBuffersLimited() throws Exception {
        client.close();
        assertTrue(harness.stop().await(10, TimeUnit.SECONDS));
        String log = harness.log.toString(UTF_8);
        Matcher used =
                Pattern.compile("INFO stream_buffers_used peak_bytes=(\\d+) remaining_bytes=0")
                        .matcher(log);
        assertTrue(used.find(), log);
        long peak = Long.parseLong(used.group(1));
        assertTrue(
                peak >= 5000 && peak < 5000 + 2 * StreamingSettings.READ_BYTES,
                "peak of buffered bytes: " + peak);
    }
}
