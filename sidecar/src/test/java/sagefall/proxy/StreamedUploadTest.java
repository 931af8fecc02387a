package sagefall.proxy;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import sagefall.proxy.upstream.ConnectionPool;

/** Tests uploads that are forwarded while the client is still sending them. */
class StreamedUploadTest extends StreamingSocketTest {

    @Test
    void uploadIsStreamedAsItArrives() throws Exception {
        start("");
        client.write(appendRequest("Transfer-Encoding: chunked")).chunk("first");
        RawConnection upstream = server.take();
        RawConnection.Head head = upstream.head();
        assertEquals("chunked", head.header("Transfer-Encoding"));
        assertEquals("first", new String(upstream.chunk(), UTF_8));
        client.chunk("second").write("0\r\nCheck: sum\r\nRequest-Id: other\r\n\r\n");
        assertEquals("second", new String(upstream.chunks(), UTF_8));
        assertEquals(Map.of("Check", "sum"), upstream.trailers());
        upstream.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        client.head();
        assertEquals("ok", client.text(2));
        // The sidecar buffers a small body completely before it forwards the body. Both connections
        // are reused.
        TimeUnit.MICROSECONDS.sleep(ConnectionPool.INITIAL_REUSE_DELAY_MICROS);
        client.write(appendRequest("Content-Length: 3") + "abc");
        assertEquals("3", upstream.head().header("Content-Length"));
        assertEquals("abc", upstream.text(3));
        upstream.write(OK_WITHOUT_BODY);
        assertStatus(200, client);
    }

    @Test
    void continueResponseIsSentOnceAServerIsAttached() throws Exception {
        start("");
        client.write(appendRequest("Content-Length: 100000\r\nExpect: 100-continue"));
        RawConnection upstream = server.take();
        assertNull(upstream.head().header("Expect"));
        assertStatus(100, client);
        byte[] body = randomBytes(100_000);
        client.write(body);
        assertArrayEquals(body, upstream.bytes(100_000));
        upstream.write(OK_WITHOUT_BODY);
        assertStatus(200, client);
    }

    /**
     * Guards against a fault in which a kept client connection was not read any more after an
     * upload that had come whole before a server was attached, and whose response was streamed.
     */
    @Test
    void nextRequestIsReadAfterAnUploadThatCameWholeBeforeItsServer() throws Exception {
        String bothDirections = "'max_request_bytes':1000000,'max_answer_bytes':1000000";
        start(
                newHarness()
                        .withConfig("'name':'append'", "'name':'append','streaming':true")
                        .withExtensions(
                                "{'streaming':{'classes':{'append':{" + bothDirections + "}}}}"));
        for (int i = 0; i < 2; i++) {
            long startNanos = System.nanoTime();
            client.write(appendRequest("Transfer-Encoding: chunked") + "3\r\nabc\r\n" + LAST_CHUNK);
            RawConnection upstream = acceptRequest();
            assertEquals("abc", new String(upstream.chunks(), UTF_8));
            upstream.trailers();
            upstream.write(OK_CHUNKED).chunk("def").write(LAST_CHUNK);
            upstream.close();
            client.head();
            assertEquals("def", new String(client.chunks(), UTF_8));
            client.trailers();
            long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            assertTrue(elapsedMillis < 2_000, elapsedMillis + " ms");
        }
    }

    /**
     * Guards against uploads that count as stopped because the event loop was late: at the limit of
     * uploads, a new one is rejected then and not one whose client has gone on sending.
     */
    @Test
    void uploadsThatGoOnDuringAStallAreNotEndedForANewOne() throws Exception {
        SidecarHarness limited = newHarness().withConfig("'sockets':1024", "'sockets':128");
        start(limited.withExtensions(streaming("")));
        int maxUploads = limited.config().settings().limits().maxOpenRequests() / 2;
        List<RawConnection> uploads = new ArrayList<>();
        for (int i = 0; i < maxUploads; i++) {
            uploads.add(connect().write(appendRequest("Transfer-Encoding: chunked")).chunk("a"));
            acceptRequest().chunk();
        }
        limited.whileLoopIsStalled(
                () -> {
                    TimeUnit.MILLISECONDS.sleep(600);
                    client.write(appendRequest("Transfer-Encoding: chunked")).chunk("a");
                    for (RawConnection upload : uploads) {
                        upload.chunk("b".repeat(2_000));
                    }
                },
                () -> {});
        assertStatus(503, client);
        for (RawConnection upload : uploads) {
            upload.write(LAST_CHUNK);
        }
        while (!limited.log.toString(UTF_8).contains("upload_limit_reached")) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        String log = limited.log.toString(UTF_8);
        assertTrue(log.contains(" stopped_uploads=0 rejected_uploads=1"), log);
    }

    /**
     * Guards against a fault in which the rejection of an upload whose body came with its head
     * failed, so that the client got another reason.
     */
    @Test
    void invalidUploadThatCameWholeIsRejectedWithItsReason() throws Exception {
        start("");
        client.write(
                appendRequest("Transfer-Encoding: chunked").replaceFirst("Request-Id", "Other")
                        + "3\r\nabc\r\n"
                        + LAST_CHUNK);
        assertStatus(400, client);
        assertEquals("no Request-Id", client.line());
        assertEquals("", harness.log.toString(UTF_8));
    }

    /** The client's timeout runs from the last byte of an upload, not from the first byte. */
    @Test
    void timeoutRunsFromTheLastByteOfAnUpload() throws Exception {
        start("");
        client.write(appendRequest("Transfer-Encoding: chunked").replace("2000", "300")).chunk("a");
        RawConnection upstream = acceptRequest();
        upstream.chunk();
        try (RawConnection other = connect()) {
            // The server does not respond to this request. The request has a timeout of 400 ms.
            // When this request fails, the upload's timeout of 300 ms has passed since the first
            // byte of the upload.
            other.write(TestClient.head("GET", "/search/k1", 400, "", 0));
            acceptRequest();
            assertTrue(other.head().startLine().startsWith("HTTP/1.1 50"));
        }
        client.write(LAST_CHUNK);
        upstream.chunks();
        upstream.trailers();
        // The timeout of the upload runs from the last chunk.
        assertStatus(504, client);
    }

    @Test
    void uploadWithinTheReplayBufferIsRetriedAtAnotherServer() throws Exception {
        try (RawConnection.Server other = server.another()) {
            harness =
                    closeAfterTest(
                            new SidecarHarness(folder, List.of(server.port(), other.port())));
            start(harness.withExtensions(streaming("")));
            RawConnection upstream = startedUpload("first");
            upstream.write(NOT_STARTED);
            upstream.awaitEnd();
            RawConnection next = acceptRequest();
            assertEquals("first", new String(next.chunk(), UTF_8));
            client.chunk("second").write(LAST_CHUNK);
            assertEquals("second", new String(next.chunks(), UTF_8));
            next.trailers();
            next.write(OK_WITHOUT_BODY);
            assertStatus(200, client);
        }
    }

    /**
     * An upload that exceeds the replay buffer cannot be sent again, so it is never retried. A
     * server runs a request only after it has received the whole body, so the request has not run.
     * The client therefore receives 503 at once.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void uploadThatExceedsTheReplayBufferIsRejectedInsteadOfRetried(boolean serverCloses)
            throws Exception {
        start(",'replay_bytes':4");
        RawConnection upstream = startedUpload("first");
        if (serverCloses) {
            upstream.close();
        } else {
            upstream.write(NOT_STARTED);
        }
        RawConnection.Head rejected = client.head();
        assertEquals("HTTP/1.1 503 Service Unavailable", rejected.startLine());
        assertNotNull(rejected.header("Retry-After"));
        assertEquals("close", rejected.header("Connection"));
        assertTrue(server.hasNoConnection());
    }

    @Test
    void errorBeforeTheEndOfTheBodyIsForwardedAndClosesBothConnections() throws Exception {
        start("");
        RawConnection upstream = startedUpload();
        upstream.write("HTTP/1.1 413 Too Much\r\nContent-Length: 2\r\n\r\nno");
        RawConnection.Head head = client.head();
        assertTrue(head.startLine().startsWith("HTTP/1.1 413 "), head.startLine());
        assertEquals("no", client.text(2));
        upstream.awaitEnd();
        client.write(new byte[50_000]).socket.shutdownOutput();
        client.awaitEnd();
        assertTrue(server.hasNoConnection());
    }

    /**
     * A server runs a request only after it has received the whole body. A 200 that arrives earlier
     * therefore cannot be the response to that request. The client receives 503.
     */
    @Test
    void successBeforeTheEndOfTheBodyIsNotForwarded() throws Exception {
        start(",'replay_bytes':4");
        RawConnection upstream = startedUpload();
        upstream.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno");
        upstream.awaitEnd();
        assertStatus(503, client);
    }

    @Test
    void uploadOfAStalledClientIsRejectedAndCancelled() throws Exception {
        start(",'read_stall_ms':100");
        client.write(appendRequest("Content-Length: 100000") + "begin");
        RawConnection upstream = acceptRequest();
        assertStatus(408, client);
        upstream.awaitEnd();
    }

    @Test
    void uploadToAStalledServerIsRejectedAndCancelled() throws Exception {
        start(",'write_stall_ms':100,'replay_bytes':4,'high_watermark_bytes':5000");
        client.write(appendRequest("Content-Length: 90000000"));
        RawConnection upstream = acceptRequest();
        Thread writing =
                writeInBackground(
                        () -> {
                            for (int i = 0; i < 90; i++) {
                                client.write(new byte[1_000_000]);
                            }
                        });
        assertStatus(503, client);
        upstream.awaitEnd();
        writing.join();
        assertBuffersLimited();
    }

    /**
     * The server never receives the end of a malformed body, so the body cannot contain a request
     * that the server would run. In the table, a body of {@code 0} stands for 70 000 bytes.
     */
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
    void malformedUploadBodyIsRejected(String framing, String body, String following, int status)
            throws Exception {
        start("");
        String text = body.equals("0") ? "x".repeat(70_000) : body.replace("\\r\\n", "\r\n");
        client.write(
                appendRequest(framing.replace("\\r\\n", "\r\n"))
                        + text
                        + following.replace("\\r\\n", "\r\n"));
        String first = client.head().startLine();
        assertTrue(first.startsWith("HTTP/1.1 " + status), first);
        if (!server.hasNoConnection()) {
            RawConnection upstream = acceptRequest();
            assertThrows(
                    IOException.class,
                    () -> {
                        if (body.equals("0")) {
                            upstream.bytes(70_000);
                        } else {
                            upstream.chunks();
                        }
                    });
        }
    }

    @Test
    void endlessTrailersAreNotForwarded() throws Exception {
        start("");
        client.write(appendRequest("Transfer-Encoding: chunked")).chunk("abc").write("0\r\n");
        RawConnection upstream = acceptRequest();
        upstream.chunk();
        assertThrows(
                IOException.class,
                () -> {
                    for (int i = 0; i < 10_000; i++) {
                        client.write("A" + i + ": " + "x".repeat(100) + "\r\n");
                    }
                    // If all writes succeed, the connection must close after the last write.
                    client.awaitEnd();
                    throw new IOException("ended");
                });
        assertThrows(IOException.class, upstream::chunks);
    }

    @Test
    void uploadThatExceedsItsSizeLimitIsRejected() throws Exception {
        start(
                newHarness()
                        .withExtensions(
                                "{'streaming':{'classes':{'append':{'max_request_bytes':4}}}}"));
        RawConnection upstream = startedUpload("abc");
        client.chunk("de");
        assertStatus(413, client);
        assertThrows(IOException.class, upstream::chunks);
    }

    @Test
    void disconnectDuringAnUploadClosesTheServerConnection() throws Exception {
        start("");
        client.write(appendRequest("Content-Length: 100000") + "begin");
        RawConnection upstream = acceptRequest();
        client.close();
        assertThrows(IOException.class, () -> upstream.bytes(100_000));
    }

    @Test
    void uploadsCompleteOrAreRejectedBeforeTheSidecarStops() throws Exception {
        start(",'drain_ms':1000");
        RawConnection upstream = startedUpload("abc");
        try (RawConnection slow = connect()) {
            slow.write(appendRequest("Transfer-Encoding: chunked")).chunk("abc");
            RawConnection second = acceptRequest();
            CountDownLatch stopped = harness.stop();
            client.write(LAST_CHUNK);
            upstream.chunks();
            upstream.write(OK_WITHOUT_BODY);
            assertStatus(200, client);
            assertStatus(504, slow);
            second.awaitEnd();
            slow.socket.close();
            assertTrue(stopped.await(10, TimeUnit.SECONDS));
        }
    }

    @Test
    void largeUploadArrivesCompletelyAtASlowServer() throws Exception {
        start(",'high_watermark_bytes':5000");
        byte[] body = randomBytes(BIG_BODY_BYTES);
        Thread writing =
                writeInBackground(
                        () ->
                                client.write(appendRequest("Content-Length: " + BIG_BODY_BYTES))
                                        .write(body));
        RawConnection upstream = acceptRequest();
        assertBodyArrives(body, upstream);
        upstream.write(OK_WITHOUT_BODY);
        assertStatus(200, client);
        writing.join();
    }
}
