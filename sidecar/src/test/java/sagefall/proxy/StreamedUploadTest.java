package sagefall.proxy;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import sagefall.proxy.upstream.ConnectionPool;

/** Bodies of requests that are passed on while the client still sends them. */
class StreamedUploadTest extends StreamingSocketTest {

    @Test
    void uploadIsStreamedAsItArrives() throws Exception {
        start("");
        client.raw(append("Transfer-Encoding: chunked")).chunk("first");
        RawConnection to = server.take();
        RawConnection.Head head = to.head();
        assertEquals("chunked", head.header("Transfer-Encoding"));
        assertEquals("first", new String(to.chunk(), UTF_8));
        client.chunk("second").raw("0\r\nCheck: sum\r\nRequest-Id: other\r\n\r\n");
        assertEquals("second", new String(to.chunks(), UTF_8));
        assertEquals(Map.of("Check", "sum"), to.trailers());
        to.raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        client.head();
        assertEquals("ok", client.text(2));
        // Small ones are still sent complete, on the same connections.
        TimeUnit.MICROSECONDS.sleep(ConnectionPool.REUSE_DELAY_MICROS);
        client.raw(append("Content-Length: 3") + "abc");
        assertEquals("3", to.head().header("Content-Length"));
        assertEquals("abc", to.text(3));
        to.raw(OK_WITHOUT_BODY);
        assertStatus(200, client);
    }

    @Test
    void continueIsSentOnceAServerReadsTheBody() throws Exception {
        start("");
        client.raw(append("Content-Length: 100000\r\nExpect: 100-continue"));
        RawConnection to = server.take();
        assertNull(to.head().header("Expect"));
        assertStatus(100, client);
        byte[] body = noise(100_000);
        client.raw(body);
        assertArrayEquals(body, to.bytes(100_000));
        to.raw(OK_WITHOUT_BODY);
        assertStatus(200, client);
    }

    /** The client's time counts from its last byte, not from its first. */
    @Test
    void timeCountsFromTheLastByte() throws Exception {
        start("");
        client.raw(append("Transfer-Encoding: chunked").replace("2000", "300")).chunk("a");
        RawConnection to = acceptRequest();
        to.chunk();
        try (RawConnection other = connect()) {
            other.raw(TestClient.head("GET", "/search/k1", 400, "", 0));
            acceptRequest();
            assertTrue(other.head().startLine().startsWith("HTTP/1.1 50"));
        }
        client.raw(LAST_CHUNK);
        to.chunks();
        to.trailers();
        // From here on it counts.
        assertStatus(504, client);
    }

    @Test
    void bodyInTheReplayBufferIsSentCompleteToAnotherServer() throws Exception {
        try (RawConnection.Server other = server.another()) {
            harness = opened(new SidecarHarness(folder, List.of(server.port(), other.port())));
            start(harness.withExtensions(streaming("")));
            RawConnection to = startedUpload("first");
            to.raw(NOT_STARTED);
            to.awaitEnd();
            RawConnection next = acceptRequest();
            assertEquals("first", new String(next.chunk(), UTF_8));
            client.chunk("second").raw(LAST_CHUNK);
            assertEquals("second", new String(next.chunks(), UTF_8));
            next.trailers();
            next.raw(OK_WITHOUT_BODY);
            assertStatus(200, client);
        }
    }

    /**
     * Past the replay buffer it is never sent a second time; it has not run, so it may be rejected,
     * at once.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void bodyPastTheReplayBufferIsRejectedAtOnce(boolean dies) throws Exception {
        start(",'replay_bytes':4");
        RawConnection to = startedUpload("first");
        if (dies) {
            to.close();
        } else {
            to.raw(NOT_STARTED);
        }
        RawConnection.Head rejected = client.head();
        assertEquals("HTTP/1.1 503 Service Unavailable", rejected.startLine());
        assertNotNull(rejected.header("Retry-After"));
        assertEquals("close", rejected.header("Connection"));
        assertTrue(server.hasNoConnection());
    }

    @Test
    void errorBeforeTheEndOfTheBodyIsForwardedAndEndsBothConnections() throws Exception {
        start("");
        RawConnection to = startedUpload();
        to.raw("HTTP/1.1 413 Too Much\r\nContent-Length: 2\r\n\r\nno");
        RawConnection.Head head = client.head();
        assertTrue(head.startLine().startsWith("HTTP/1.1 413 "), head.startLine());
        assertEquals("no", client.text(2));
        to.awaitEnd();
        client.raw(new byte[50_000]).socket.shutdownOutput();
        client.awaitEnd();
        assertTrue(server.hasNoConnection());
    }

    /** A server starts a request with its last byte: a 200 before it is no answer to it. */
    @Test
    void answerBeforeTheEndOfTheBodyIsNotForwarded() throws Exception {
        start(",'replay_bytes':4");
        RawConnection to = startedUpload();
        to.raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno");
        to.awaitEnd();
        assertStatus(503, client);
    }

    @Test
    void clientThatSendsNothingIsGivenUp() throws Exception {
        start(",'read_stall_ms':100");
        client.raw(append("Content-Length: 100000") + "begin");
        RawConnection to = acceptRequest();
        assertStatus(408, client);
        to.awaitEnd();
    }

    @Test
    void serverThatReadsNothingIsGivenUp() throws Exception {
        start(",'write_stall_ms':100,'replay_bytes':4,'high_watermark_bytes':5000");
        client.raw(append("Content-Length: 90000000"));
        RawConnection to = acceptRequest();
        Thread writing =
                writeInBackground(
                        () -> {
                            for (int i = 0; i < 90; i++) {
                                client.raw(new byte[1_000_000]);
                            }
                        });
        assertStatus(503, client);
        to.awaitEnd();
        writing.join();
        assertBuffersLimited();
    }

    /** No request can hide in such a body: the server never sees its end. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "Content-Length: 70000 | 0 | GET /export/k2 HTTP/1.1\\r\\n\\r\\n | 400",
                "Transfer-Encoding: chunked | 3\\r\\nabc\\r\\n0\\r\\n\\r\\n | "
                        + "GET / HTTP/1.1\\r\\n\\r\\n | 400",
                "Transfer-Encoding: chunked | 3\\r\\nabc\\r\\nzz\\r\\n | '' | 400",
                "Transfer-Encoding: chunked | 3\\r\\nabc\\r\\n-1\\r\\n | '' | 400",
                "Transfer-Encoding: chunked | 3\\r\\nabc\\r\\nffffffffffffffffff\\r\\n | '' | 400",
                "Content-Length: 70000\\r\\nTransfer-Encoding: chunked | 0\\r\\n\\r\\n | '' | 413",
                "Content-Length: 200000000 | '' | '' | 413",
                "Transfer-Encoding: gzip, chunked | 3\\r\\nabc\\r\\n0\\r\\n\\r\\n | '' | 400",
            })
    void malformedBodyEndsInAnError(String framing, String body, String behind, int status)
            throws Exception {
        start("");
        String text = body.equals("0") ? "x".repeat(70_000) : body.replace("\\r\\n", "\r\n");
        client.raw(
                append(framing.replace("\\r\\n", "\r\n"))
                        + text
                        + behind.replace("\\r\\n", "\r\n"));
        String first = client.head().startLine();
        assertTrue(first.startsWith("HTTP/1.1 " + status), first);
        if (!server.hasNoConnection()) {
            RawConnection to = acceptRequest();
            assertThrows(
                    IOException.class,
                    () -> {
                        if (body.equals("0")) {
                            to.bytes(70_000);
                        } else {
                            to.chunks();
                        }
                    });
        }
    }

    @Test
    void trailersWithoutEndAreNotForwarded() throws Exception {
        start("");
        client.raw(append("Transfer-Encoding: chunked")).chunk("abc").raw("0\r\n");
        RawConnection to = acceptRequest();
        to.chunk();
        assertThrows(
                IOException.class,
                () -> {
                    for (int i = 0; i < 10_000; i++) {
                        client.raw("A" + i + ": " + "x".repeat(100) + "\r\n");
                    }
                    client.awaitEnd();
                    throw new IOException("ended");
                });
        assertThrows(IOException.class, to::chunks);
    }

    @Test
    void bodyPastItsLimitIsTooLarge() throws Exception {
        start(
                newHarness()
                        .withExtensions(
                                "{'streaming':{'classes':{'append':{'max_request_bytes':4}}}}"));
        RawConnection to = startedUpload("abc");
        client.chunk("de");
        assertStatus(413, client);
        assertThrows(IOException.class, to::chunks);
    }

    @Test
    void clientThatLeavesMidUploadEndsItAtTheServer() throws Exception {
        start("");
        client.raw(append("Content-Length: 100000") + "begin");
        RawConnection to = acceptRequest();
        client.close();
        assertThrows(IOException.class, () -> to.bytes(100_000));
    }

    @Test
    void uploadsAreCompletedOrAnsweredBeforeTheSidecarStops() throws Exception {
        start(",'drain_ms':1000");
        RawConnection to = startedUpload("abc");
        try (RawConnection slow = connect()) {
            slow.raw(append("Transfer-Encoding: chunked")).chunk("abc");
            RawConnection second = acceptRequest();
            CountDownLatch stopped = harness.stop();
            client.raw(LAST_CHUNK);
            to.chunks();
            to.raw(OK_WITHOUT_BODY);
            assertStatus(200, client);
            assertStatus(504, slow);
            second.awaitEnd();
            slow.socket.close();
            assertTrue(stopped.await(10, TimeUnit.SECONDS));
        }
    }

    @Test
    void bigUploadArrivesCompleteAtASlowServer() throws Exception {
        start(",'high_watermark_bytes':5000");
        byte[] body = noise(BIG_BODY_BYTES);
        Thread writing =
                writeInBackground(
                        () -> client.raw(append("Content-Length: " + BIG_BODY_BYTES)).raw(body));
        RawConnection to = acceptRequest();
        assertArrives(body, to);
        to.raw(OK_WITHOUT_BODY);
        assertStatus(200, client);
        writing.join();
    }
}
