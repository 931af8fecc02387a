package sagefall.proxy;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
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

/** Tests responses that are forwarded while the server is still sending them. */
class StreamedResponseTest extends StreamingSocketTest {

    @Test
    void responseIsStreamedAsItArrivesAndItsConnectionIsReused() throws Exception {
        start("");
        RawConnection upstream = sendExport(client);
        upstream.write(
                        "HTTP/1.1 200 OK\r\nServer-Load: TEXT cpu=0.2\r\nContent-Type: text/x\r\n"
                                + "Transfer-Encoding: chunked\r\n\r\n")
                .chunk("first");
        RawConnection.Head head = client.head();
        assertEquals("HTTP/1.1 200 OK", head.startLine());
        assertEquals("text/x", head.header("Content-Type"));
        assertNull(head.header("Server-Load"));
        assertEquals("first", new String(client.chunk(), UTF_8));
        upstream.chunk("second").write("0\r\nCheck: sum\r\nNot-Started: 1\r\n\r\n");
        assertEquals("second", new String(client.chunks(), UTF_8));
        assertEquals(Map.of("Check", "sum"), client.trailers());
        // The second response has a known length and is sent on the same two connections.
        TimeUnit.MICROSECONDS.sleep(ConnectionPool.INITIAL_REUSE_DELAY_MICROS);
        client.write(exportRequest(2_000));
        upstream.head();
        upstream.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nthird");
        assertEquals("5", client.head().header("Content-Length"));
        assertEquals("third", client.text(5));
        assertTrue(server.hasNoConnection());
    }

    /** Once the head is forwarded, neither the attempt timeout nor the deadline ends a response. */
    @Test
    void responseThatHasStartedIsNotEndedAtTheDeadline() throws Exception {
        start("");
        client.write(exportRequest(300));
        RawConnection upstream = acceptRequest();
        upstream.write(OK_CHUNKED).chunk("a");
        client.head();
        assertEquals("a", new String(client.chunk(), UTF_8));
        try (RawConnection other = connect()) {
            // The server does not respond to this request. The request has a timeout of 400 ms.
            // When this request fails, the timeout of the first request, 300 ms, has passed.
            other.write(TestClient.head("GET", "/search/k1", 400, "", 0));
            acceptRequest();
            assertTrue(other.head().startLine().startsWith("HTTP/1.1 50"));
        }
        upstream.chunk("b").write(LAST_CHUNK);
        assertEquals("b", new String(client.chunks(), UTF_8));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
                "Content-Length: 5\r\n\r\nabc",
                "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nno size\r\n"
            })
    void clientCanTellThatAResponseIsIncomplete(String text) throws Exception {
        start("");
        RawConnection upstream = sendExport(client);
        upstream.write("HTTP/1.1 200 OK\r\n" + text);
        RawConnection.Head head = client.head();
        if (head.header("Content-Length") != null) {
            assertEquals("abc", client.text(3));
        } else {
            assertEquals("abc", new String(client.chunk(), UTF_8));
        }
        upstream.close();
        assertThrows(IOException.class, () -> client.bytes(1));
    }

    /**
     * The end of a response to an HTTP/1.0 client is the close of the connection. An incomplete
     * response must therefore end with a reset.
     */
    @Test
    void http10ClientCanTellThatAResponseIsIncomplete() throws Exception {
        start("");
        client.write(exportRequest(2_000).replace("HTTP/1.1", "HTTP/1.0"));
        RawConnection upstream = acceptRequest();
        upstream.write(OK_CHUNKED).chunk("abc");
        assertNull(client.head().header("Transfer-Encoding"));
        assertEquals("abc", client.text(3));
        upstream.close();
        assertThrows(java.net.SocketException.class, () -> client.bytes(1));
    }

    /**
     * The response cannot be sent to a disconnected client. The attempt therefore ends even if the
     * settings disable cancelling.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void disconnectDuringAResponseEndsTheAttemptAndFreesItsBuffers(boolean cancelling)
            throws Exception {
        newHarness()
                .withConfig("'cancelling':true", "'cancelling':" + cancelling)
                .withExtensions(streaming(BUFFERS_FOR_ONE_STREAM))
                .start();
        for (int i = 0; i < 3; i++) {
            try (RawConnection disconnecting = connect()) {
                RawConnection upstream = sendExport(disconnecting);
                upstream.write(OK_CHUNKED).chunk("abc");
                disconnecting.head();
                disconnecting.socket.close();
                upstream.awaitEnd();
            }
        }
    }

    @Test
    void newStreamIsRejectedAtTheBufferLimitWhileTheOpenStreamContinues() throws Exception {
        start(BUFFERS_FOR_ONE_STREAM);
        RawConnection upstream = startedExport();
        try (RawConnection other = connect()) {
            other.write(exportRequest(2_000));
            RawConnection.Head rejected = other.head();
            assertEquals("HTTP/1.1 503 Service Unavailable", rejected.startLine());
            assertNotNull(rejected.header("Retry-After"));
            assertTrue(server.hasNoConnection());
            upstream.write(LAST_CHUNK);
            assertEquals("abc", new String(client.chunks(), UTF_8));
            // The completed stream has released its buffers, so the next stream is accepted.
            client.trailers();
            client.write(exportRequest(2_000));
            acceptRequest().write(OK_WITHOUT_BODY);
            assertStatus(200, client);
        }
    }

    @Test
    void responseToAStalledClientIsAborted() throws Exception {
        start(",'write_stall_ms':100,'high_watermark_bytes':5000");
        RawConnection upstream = sendExport(client);
        upstream.write("HTTP/1.1 200 OK\r\nContent-Length: 90000000\r\n\r\n");
        assertThrows(
                IOException.class,
                () -> {
                    for (int i = 0; i < 90; i++) {
                        upstream.write(new byte[1_000_000]);
                    }
                });
        client.head();
        assertThrows(IOException.class, () -> client.bytes(90_000_000));
        assertBuffersLimited();
    }

    @Test
    void responseOfAStalledServerIsAborted() throws Exception {
        start(",'read_stall_ms':100");
        RawConnection upstream = startedExport();
        client.assertBroken();
        upstream.awaitEnd();
    }

    /**
     * Guards against a fault in which a response whose length is too small reached the client as a
     * complete response.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 3\r\n\r\nabcHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\ny",
                "Content-Length: 3\r\n\r\nabcnoise\r\n\r\n",
                "Content-Length: 3\r\n\r\nabcx",
                "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nx"
            })
    void clientCanTellThatSurplusBytesFollowedAResponse(String response) throws Exception {
        start("");
        RawConnection upstream = sendExport(client);
        upstream.write("HTTP/1.1 200 OK\r\n" + response);
        assertThrows(
                IOException.class,
                () -> {
                    if (client.head().header("Content-Length") == null) {
                        client.chunks();
                    }
                    client.bytes(3);
                });
        upstream.awaitEnd();
        try (RawConnection other = connect()) {
            other.write(exportRequest(2_000));
            acceptRequest().write(OK_WITHOUT_BODY);
            assertStatus(200, other);
        }
    }

    @Test
    void copyOfAResponseClosesOnlyTheServerConnection() throws Exception {
        start("");
        RawConnection upstream = sendExport(client);
        upstream.write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc".repeat(2));
        client.head();
        assertEquals("abc", client.text(3));
        upstream.awaitEnd();
        client.write(exportRequest(2_000));
        acceptRequest().write(OK_WITHOUT_BODY);
        assertStatus(200, client);
    }

    /**
     * No byte of a response with an invalid framing or length is forwarded, whether its request
     * class is streamed ({@code export}) or not ({@code book}).
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "book | Content-Length: 3000000000",
                "export | Content-Length: 3000000000",
                "export | Content-Length: 2\\r\\nTransfer-Encoding: chunked",
                "book | Content-Length: 2\\r\\nTransfer-Encoding: chunked",
                "book | Content-Length: 2\\r\\nContent-Length: 2",
                "export | Content-Length: 2\\r\\nContent-Length: 3",
                "export | Transfer-Encoding: gzip, chunked",
                "export | Content-Type: text/x",
                "export | Content-Length: -1",
            })
    void responseWithInvalidFramingOrLengthIsNotForwarded(String requestClass, String header)
            throws Exception {
        start("");
        client.write(
                TestClient.head(
                        requestClass.equals("book") ? "POST" : "GET",
                        "/" + requestClass + "/k1",
                        600,
                        "",
                        0));
        RawConnection upstream = acceptRequest();
        upstream.write("HTTP/1.1 200 OK\r\n" + header.replace("\\r\\n", "\r\n") + "\r\n\r\nab");
        upstream.awaitEnd();
        assertTrue(client.head().startLine().startsWith("HTTP/1.1 50"));
    }

    @Test
    void responseThatExceedsItsSizeLimitIsAborted() throws Exception {
        start(
                newHarness()
                        .withExtensions(
                                "{'streaming':{'classes':{'export':{'max_answer_bytes':4}}}}"));
        RawConnection upstream = startedExport();
        client.chunk();
        upstream.chunk("de");
        client.assertBroken();
        upstream.awaitEnd();
    }

    @Test
    void informationalResponseIsNotForwarded() throws Exception {
        start("");
        RawConnection upstream = sendExport(client);
        upstream.write("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
                .write(OK_CHUNKED)
                .chunk("abc")
                .write(LAST_CHUNK);
        assertStatus(200, client);
        assertEquals("abc", new String(client.chunks(), UTF_8));
    }

    @Test
    void bytesFromTheClientDuringAResponseAbortTheResponse() throws Exception {
        start("");
        RawConnection upstream = startedExport();
        client.chunk();
        client.write(exportRequest(2_000));
        client.assertBroken();
        upstream.awaitEnd();
        assertTrue(server.hasNoConnection());
    }

    @Test
    void streamContinuesWhileItsEndpointDrainsAndIsRemoved() throws Exception {
        start("");
        RawConnection upstream = startedExport();
        for (String state : List.of("terminating", "terminated")) {
            String list =
                    SidecarHarness.json(
                            SidecarHarness.list(2, false, state, List.of(server.port())));
            harness.loop
                    .submit(
                            () -> {
                                harness.sidecar
                                        .endpointUpdates()
                                        .onEndpointList(
                                                harness.config()
                                                        .endpointListCodec()
                                                        .parse(list.getBytes(UTF_8)));
                                return null;
                            })
                    .get();
            upstream.chunk(state);
        }
        upstream.write(LAST_CHUNK);
        assertEquals("abcterminatingterminated", new String(client.chunks(), UTF_8));
        upstream.awaitEnd();
    }

    @Test
    void streamInFlightCompletesBeforeTheSidecarStops() throws Exception {
        start(",'drain_ms':20000");
        RawConnection upstream = startedExport();
        CountDownLatch stopped = harness.stop();
        client.chunk();
        assertFalse(stopped.await(600, TimeUnit.MILLISECONDS), "stopped with a stream in flight");
        upstream.chunk("d").write(LAST_CHUNK);
        assertEquals("d", new String(client.chunks(), UTF_8));
        assertTrue(stopped.await(10, TimeUnit.SECONDS));
    }

    @Test
    void streamIsAbortedAfterTheDrainTimeout() throws Exception {
        start(",'drain_ms':100");
        RawConnection upstream = startedExport();
        CountDownLatch stopped = harness.stop();
        client.assertBroken();
        upstream.awaitEnd();
        assertTrue(stopped.await(10, TimeUnit.SECONDS));
    }

    @Test
    void largeResponseArrivesCompletelyAtASlowClient() throws Exception {
        start(",'high_watermark_bytes':5000");
        RawConnection upstream = sendExport(client);
        byte[] body = randomBytes(BIG_BODY_BYTES);
        String head = "HTTP/1.1 200 OK\r\nContent-Length: " + BIG_BODY_BYTES + "\r\n\r\n";
        Thread writing = writeInBackground(() -> upstream.write(head).write(body));
        client.head();
        assertBodyArrives(body, client);
        writing.join();
    }

    /**
     * If the extensions file has no section {@code streaming}, the sidecar buffers bodies of up to
     * 64 KiB and rejects larger uploads.
     */
    @Test
    void bodiesAreBufferedIfTheStreamingSectionIsMissing() throws Exception {
        start(newHarness());
        RawConnection upstream = sendExport(client);
        upstream.write(OK_CHUNKED).chunk("abc").write(LAST_CHUNK);
        assertEquals("3", client.head().header("Content-Length"));
        assertEquals("abc", client.text(3));
        client.write(appendRequest("Content-Length: 70000"));
        assertStatus(413, client);
    }
}
