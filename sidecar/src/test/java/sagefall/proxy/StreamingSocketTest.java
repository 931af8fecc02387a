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
 * A test of bodies that are streamed, between real sockets: one server, one sidecar, one client,
 * whose bytes the test writes and reads. The tests wait for events, not for times.
 */
abstract class StreamingSocketTest extends SocketTest {

    /** Extensions that let {@code export} stream its answers and {@code append} its uploads. */
    static final String STREAMING =
            "{'streaming':{'classes':{'export':{'max_answer_bytes':100000000},"
                    + "'append':{'max_request_bytes':100000000}}MORE}}";

    /** A body that no buffer takes as a whole. */
    static final int BIG_BODY_BYTES = 3_000_000;

    /** Further settings that leave buffers for one stream. */
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
        server = opened(new RawConnection.Server());
    }

    /** A sidecar that knows the server and has not been started. */
    final SidecarHarness newHarness() throws Exception {
        harness = opened(new SidecarHarness(folder, List.of(server.port())));
        return harness;
    }

    /** Starts a sidecar and connects a client. */
    final void start(SidecarHarness configured) throws Exception {
        configured.start();
        client = connect();
    }

    /**
     * Starts a sidecar that streams, and connects a client.
     *
     * @param settings further settings of the section {@code streaming}, with a comma before each
     */
    final void start(String settings) throws Exception {
        start(newHarness().withExtensions(streaming(settings)));
    }

    /** The extensions with further settings, with a comma before each. */
    static String streaming(String settings) {
        return STREAMING.replace("MORE", settings);
    }

    /** A further client. */
    final RawConnection connect() throws IOException {
        return opened(RawConnection.to(harness.address));
    }

    /** A request of the class whose answers are streamed. */
    static String exportRequest(long timeoutMillis) {
        return TestClient.head("GET", "/export/k1", timeoutMillis, "", 0);
    }

    /** Sends a request whose answer is streamed; the server's connection, the request read. */
    final RawConnection export(RawConnection from) throws Exception {
        from.raw(exportRequest(2_000));
        return acceptRequest();
    }

    /** The same, with the head and the first three bytes of an answer written and the head read. */
    final RawConnection startedExport() throws Exception {
        RawConnection to = export(client);
        to.raw(OK_CHUNKED).chunk("abc");
        client.head();
        return to;
    }

    /** The server's next connection, with the head of the request read. */
    final RawConnection acceptRequest() throws Exception {
        RawConnection to = server.take();
        to.head();
        return to;
    }

    /** The head of a request of the class whose uploads are streamed. */
    static String append(String framing) {
        return TestClient.head("POST", "/append/k1", 2_000, framing + "\r\n", 0);
    }

    /** Sends the first five of 100 000 bytes; the server's connection, these bytes read. */
    final RawConnection startedUpload() throws Exception {
        client.raw(append("Content-Length: 100000") + "begin");
        RawConnection to = acceptRequest();
        to.text(5);
        return to;
    }

    /** Sends a part of a chunked upload; the server's connection, this chunk read. */
    final RawConnection startedUpload(String chunk) throws Exception {
        client.raw(append("Transfer-Encoding: chunked")).chunk(chunk);
        RawConnection to = acceptRequest();
        assertEquals(chunk, new String(to.chunk(), UTF_8));
        return to;
    }

    /** Reads a body in 300 parts, each of which must be the body's. */
    static void assertArrives(byte[] body, RawConnection from) throws IOException {
        int part = body.length / 300;
        for (int at = 0; at < body.length; at += part) {
            assertArrayEquals(Arrays.copyOfRange(body, at, at + part), from.bytes(part));
        }
    }

    /** Bytes without a pattern, the same in each run. */
    static byte[] noise(int length) {
        byte[] bytes = new byte[length];
        new Random(7).nextBytes(bytes);
        return bytes;
    }

    /** Writes a body. */
    interface BodyWriter {
        /** Writes all of it, or fails where the connection ends. */
        void write() throws IOException;
    }

    /** Writes on a thread of its own, until the peer closes the connection. */
    static Thread writeInBackground(BodyWriter writer) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                writer.write();
                            } catch (IOException e) {
                                // Closed by the peer: the test sees there that too little arrives.
                            }
                        });
        thread.start();
        return thread;
    }

    /** Reads the head of an answer, which must have this status. */
    static void assertStatus(int status, RawConnection from) throws IOException {
        assertEquals("HTTP/1.1 " + HttpResponseStatus.valueOf(status), from.head().startLine());
    }

    /**
     * Stops the sidecar. However much one side has sent, no more was buffered than the watermark of
     * 5000 bytes and two reads.
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
                peak >= 5000 && peak < 5000 + 2 * StreamingSettings.READ_BYTES, "buffered " + peak);
    }
}
