package sagefall.proxy;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import sagefall.proxy.upstream.ConnectionPool;
import sagefall.streaming.StreamingSettings;

/**
 * Bodies that pass through as they arrive, between real sockets; what the tests wait for are
 * events.
 */
@Timeout(60)
class StreamingTest {

    private static final String ON =
            "{'streaming':{'classes':{'export':{'max_answer_bytes':100000000},"
                    + "'append':{'max_request_bytes':100000000}}MORE}}";
    private static final int BIG = 3_000_000;
    private static final String ROOM_FOR_ONE =
            ",'high_watermark_bytes':1000,'replay_bytes':0,"
                    + "'max_buffered_bytes':"
                    + (1000 + 2 * StreamingSettings.READ_BYTES);

    @TempDir Path folder;
    private RawConnection.Server server;
    private SidecarHarness harness;
    private RawConnection client;

    @BeforeEach
    void open() throws IOException {
        server = new RawConnection.Server();
    }

    @AfterEach
    void closeAll() throws Exception {
        if (client != null) {
            client.close();
        }
        if (harness != null) {
            harness.close();
        }
        server.close();
    }

    private void start(String more) throws Exception {
        harness = new SidecarHarness(folder, 250_000, 1024, List.of(server.port()));
        harness.extended(ON.replace("MORE", more)).start();
        client = RawConnection.to(harness.address);
    }

    private RawConnection export(RawConnection from) throws Exception {
        from.raw(SidecarHarness.Client.head("GET", "/export/k1", 2_000, "", 0));
        return answering();
    }

    /** The server's connection, with the head of the request read. */
    private RawConnection answering() throws Exception {
        RawConnection to = server.take();
        to.head();
        return to;
    }

    private static String append(String framing) {
        return SidecarHarness.Client.head("POST", "/append/k1", 2_000, framing + "\r\n", 0);
    }

    private static byte[] noise(int length) {
        byte[] bytes = new byte[length];
        new Random(7).nextBytes(bytes);
        return bytes;
    }

    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    // ---- Answers

    @Test
    void answerPassesOnAsItArrivesAndItsConnectionIsUsedAgain() throws Exception {
        start("");
        RawConnection to = export(client);
        to.raw(
                        "HTTP/1.1 200 OK\r\nServer-Load: TEXT cpu=0.2\r\nContent-Type: text/x\r\n"
                                + "Transfer-Encoding: chunked\r\n\r\n")
                .chunk("first");
        Map<String, String> head = client.head();
        assertEquals("HTTP/1.1 200 OK", head.get(""));
        assertEquals("text/x", head.get("Content-Type"));
        assertNull(head.get("Server-Load"));
        assertEquals("first", new String(client.chunk(), UTF_8));
        to.chunk("second").raw("0\r\nCheck: sum\r\nNot-Started: 1\r\n\r\n");
        assertEquals("second", new String(client.chunks(), UTF_8));
        assertEquals(Map.of("Check", "sum"), client.trailers());
        // A second answer on both connections, of a known length.
        TimeUnit.MICROSECONDS.sleep(ConnectionPool.SETTLE_MICROS);
        client.raw(SidecarHarness.Client.head("GET", "/export/k1", 2_000, "", 0));
        to.head();
        to.raw("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nthird");
        assertEquals("5", client.head().get("Content-Length"));
        assertEquals("third", client.text(5));
        assertTrue(server.none());
    }

    /** From its beginning on neither the attempt's time-out nor the client's deadline runs. */
    @Test
    void noDeadlineRunsOnceTheAnswerHasBegun() throws Exception {
        start("");
        client.raw(SidecarHarness.Client.head("GET", "/export/k1", 300, "", 0));
        RawConnection to = answering();
        to.raw(CHUNKED).chunk("a");
        client.head();
        assertEquals("a", new String(client.chunk(), UTF_8));
        try (RawConnection other = RawConnection.to(harness.address)) {
            other.raw(SidecarHarness.Client.head("GET", "/search/k1", 400, "", 0));
            answering();
            assertTrue(other.head().get("").startsWith("HTTP/1.1 50"));
        }
        to.chunk("b").raw("0\r\n\r\n");
        assertEquals("b", new String(client.chunks(), UTF_8));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
                "Content-Length: 5\r\n\r\nabc",
                "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nno size\r\n"
            })
    void serverThatDiesMidAnswerIsSeenByTheClient(String text) throws Exception {
        start("");
        RawConnection to = export(client);
        to.raw("HTTP/1.1 200 OK\r\n" + text);
        Map<String, String> head = client.head();
        if (head.containsKey("Content-Length")) {
            assertEquals("abc", client.text(3));
        } else {
            assertEquals("abc", new String(client.chunk(), UTF_8));
        }
        to.close();
        assertThrows(IOException.class, () -> client.bytes(1));
    }

    /** Where only the end of the connection ends an answer, a break has to be a reset. */
    @Test
    void oldClientSeesABreakToo() throws Exception {
        start("");
        client.raw(
                SidecarHarness.Client.head("GET", "/export/k1", 2_000, "", 0)
                        .replace("HTTP/1.1", "HTTP/1.0"));
        RawConnection to = answering();
        to.raw(CHUNKED).chunk("abc");
        assertNull(client.head().get("Transfer-Encoding"));
        assertEquals("abc", client.text(3));
        to.close();
        assertThrows(java.net.SocketException.class, () -> client.bytes(1));
    }

    /** Also where the settings let no attempt be called off: such an answer has nowhere to go. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void clientThatLeavesMidAnswerFreesTheServerAndItsBuffers(boolean cancelling) throws Exception {
        harness = new SidecarHarness(folder, 250_000, 1024, List.of(server.port()));
        Files.writeString(
                harness.file,
                Files.readString(harness.file)
                        .replace("\"cancelling\":true", "\"cancelling\":" + cancelling));
        harness.extended(ON.replace("MORE", ROOM_FOR_ONE)).start();
        for (int i = 0; i < 3; i++) {
            try (RawConnection one = RawConnection.to(harness.address)) {
                RawConnection to = export(one);
                to.raw(CHUNKED).chunk("abc");
                one.head();
                one.socket.close();
                to.awaitEnd();
            }
        }
    }

    @Test
    void pastTheBoundNewStreamsAreRefusedAtOnceAndRunningOnesGoOn() throws Exception {
        start(ROOM_FOR_ONE);
        RawConnection to = export(client);
        to.raw(CHUNKED).chunk("abc");
        client.head();
        try (RawConnection other = RawConnection.to(harness.address)) {
            other.raw(SidecarHarness.Client.head("GET", "/export/k1", 2_000, "", 0));
            Map<String, String> refused = other.head();
            assertEquals("HTTP/1.1 503 Service Unavailable", refused.get(""));
            assertNotNull(refused.get("Retry-After"));
            assertTrue(server.none());
            to.raw("0\r\n\r\n");
            assertEquals("abc", new String(client.chunks(), UTF_8));
            // There is room again.
            client.trailers();
            client.raw(SidecarHarness.Client.head("GET", "/export/k1", 2_000, "", 0));
            answering().raw("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            assertEquals("HTTP/1.1 200 OK", client.head().get(""));
        }
    }

    @Test
    void readerThatTakesNothingIsGivenUp() throws Exception {
        start(",'write_stall_ms':100,'high_watermark_bytes':5000");
        RawConnection to = export(client);
        to.raw("HTTP/1.1 200 OK\r\nContent-Length: 90000000\r\n\r\n");
        assertThrows(
                IOException.class,
                () -> {
                    for (int i = 0; i < 90; i++) {
                        to.raw(new byte[1_000_000]);
                    }
                });
        client.head();
        assertThrows(IOException.class, () -> client.bytes(90_000_000));
        assertBounded();
    }

    /** However much the one side brought, no more was held than the watermark and two reads. */
    private void assertBounded() throws Exception {
        client.close();
        assertTrue(harness.stop().await(10, TimeUnit.SECONDS));
        Matcher held =
                Pattern.compile("INFO stream_buffers_used peak_bytes=(\\d+) remaining_bytes=0")
                        .matcher(harness.log.toString(UTF_8));
        assertTrue(held.find(), harness.log.toString(UTF_8));
        long most = Long.parseLong(held.group(1));
        assertTrue(most >= 5000 && most < 5000 + 2 * StreamingSettings.READ_BYTES, "held " + most);
    }

    @Test
    void serverThatBringsNothingIsGivenUp() throws Exception {
        start(",'read_stall_ms':100");
        RawConnection to = export(client);
        to.raw(CHUNKED).chunk("abc");
        client.head();
        client.assertBroken();
        to.awaitEnd();
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\ny", "noise\r\n\r\n", "x"})
    void bytesBehindAnAnswerEndItsConnectionOnly(String behind) throws Exception {
        start("");
        RawConnection to = export(client);
        to.raw("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc" + behind);
        client.head();
        assertEquals("abc", client.text(3));
        to.awaitEnd();
        client.raw(SidecarHarness.Client.head("GET", "/export/k1", 2_000, "", 0));
        answering().raw("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        assertEquals("HTTP/1.1 200 OK", client.head().get(""));
    }

    /** Of these no byte reaches the client; the first of a class that does not stream. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "book | Content-Length: 3000000000",
                "export | Content-Length: 3000000000",
                "export | Content-Length: 2\\r\\nTransfer-Encoding: chunked",
                "export | Content-Length: 2\\r\\nContent-Length: 3",
                "export | Transfer-Encoding: gzip, chunked",
                "export | Content-Type: text/x",
                "export | Content-Length: -1",
            })
    void answerWithoutABoundedEndIsNone(String requestClass, String header) throws Exception {
        start("");
        client.raw(
                SidecarHarness.Client.head(
                        requestClass.equals("book") ? "POST" : "GET",
                        "/" + requestClass + "/k1",
                        600,
                        "",
                        0));
        RawConnection to = answering();
        to.raw("HTTP/1.1 200 OK\r\n" + header.replace("\\r\\n", "\r\n") + "\r\n\r\nab");
        to.awaitEnd();
        assertTrue(client.head().get("").startsWith("HTTP/1.1 50"));
    }

    @Test
    void answerThatGrowsPastItsBoundIsBroken() throws Exception {
        harness = new SidecarHarness(folder, 250_000, 1024, List.of(server.port()));
        harness.extended("{'streaming':{'classes':{'export':{'max_answer_bytes':4}}}}").start();
        client = RawConnection.to(harness.address);
        RawConnection to = export(client);
        to.raw(CHUNKED).chunk("abc");
        client.head();
        client.chunk();
        to.chunk("de");
        client.assertBroken();
        to.awaitEnd();
    }

    @Test
    void wordsAheadOfTheAnswerAreNotTheAnswer() throws Exception {
        start("");
        RawConnection to = export(client);
        to.raw("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
                .raw(CHUNKED)
                .chunk("abc")
                .raw("0\r\n\r\n");
        assertEquals("HTTP/1.1 200 OK", client.head().get(""));
        assertEquals("abc", new String(client.chunks(), UTF_8));
    }

    @Test
    void moreFromTheClientDuringAnAnswerBreaksIt() throws Exception {
        start("");
        RawConnection to = export(client);
        to.raw(CHUNKED).chunk("abc");
        client.head();
        client.chunk();
        client.raw(SidecarHarness.Client.head("GET", "/export/k1", 2_000, "", 0));
        client.assertBroken();
        to.awaitEnd();
        assertTrue(server.none());
    }

    @Test
    void streamGoesOnWhileItsServerDrainsAndIsGone() throws Exception {
        start("");
        RawConnection to = export(client);
        to.raw(CHUNKED).chunk("abc");
        client.head();
        for (String state : List.of("terminating", "terminated")) {
            String list =
                    SidecarHarness.json(
                            SidecarHarness.list(2, false, state, List.of(server.port())));
            harness.loop
                    .submit(
                            () -> {
                                harness.sidecar
                                        .endpointUpdates()
                                        .listed(
                                                harness.config()
                                                        .lists()
                                                        .read(list.getBytes(UTF_8)));
                                return null;
                            })
                    .get();
            to.chunk(state);
        }
        to.raw("0\r\n\r\n");
        assertEquals("abcterminatingterminated", new String(client.chunks(), UTF_8));
        to.awaitEnd();
    }

    @Test
    void streamInHandIsEndedBeforeTheSidecarEnds() throws Exception {
        start(",'drain_ms':20000");
        RawConnection to = export(client);
        to.raw(CHUNKED).chunk("abc");
        client.head();
        CountDownLatch ended = harness.stop();
        client.chunk();
        assertFalse(ended.await(600, TimeUnit.MILLISECONDS), "ended with a stream in hand");
        to.chunk("d").raw("0\r\n\r\n");
        assertEquals("d", new String(client.chunks(), UTF_8));
        assertTrue(ended.await(10, TimeUnit.SECONDS));
    }

    @Test
    void streamThatOutlastsTheDrainIsBroken() throws Exception {
        start(",'drain_ms':100");
        RawConnection to = export(client);
        to.raw(CHUNKED).chunk("abc");
        client.head();
        CountDownLatch ended = harness.stop();
        client.assertBroken();
        to.awaitEnd();
        assertTrue(ended.await(10, TimeUnit.SECONDS));
    }

    @Test
    void bigAnswerArrivesWholeAtASlowReader() throws Exception {
        start(",'high_watermark_bytes':5000");
        RawConnection to = export(client);
        byte[] body = noise(BIG);
        Thread writing =
                new Thread(
                        () -> {
                            try {
                                to.raw("HTTP/1.1 200 OK\r\nContent-Length: " + BIG + "\r\n\r\n")
                                        .raw(body);
                            } catch (IOException e) {
                                // The client sees too little.
                            }
                        });
        writing.start();
        client.head();
        for (int at = 0; at < BIG; at += BIG / 300) {
            assertArrayEquals(
                    Arrays.copyOfRange(body, at, at + BIG / 300), client.bytes(BIG / 300));
        }
        writing.join();
    }

    // ---- Uploads

    @Test
    void uploadPassesOnAsItArrives() throws Exception {
        start("");
        client.raw(append("Transfer-Encoding: chunked")).chunk("first");
        RawConnection to = server.take();
        Map<String, String> head = to.head();
        assertEquals("chunked", head.get("Transfer-Encoding"));
        assertEquals("first", new String(to.chunk(), UTF_8));
        client.chunk("second").raw("0\r\nCheck: sum\r\nRequest-Id: other\r\n\r\n");
        assertEquals("second", new String(to.chunks(), UTF_8));
        assertEquals(Map.of("Check", "sum"), to.trailers());
        to.raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        client.head();
        assertEquals("ok", client.text(2));
        // Small ones still go whole, on the same connections.
        TimeUnit.MICROSECONDS.sleep(ConnectionPool.SETTLE_MICROS);
        client.raw(append("Content-Length: 3") + "abc");
        assertEquals("3", to.head().get("Content-Length"));
        assertEquals("abc", to.text(3));
        to.raw("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        assertEquals("HTTP/1.1 200 OK", client.head().get(""));
    }

    @Test
    void bodyIsAskedForOnceAServerTakesIt() throws Exception {
        start("");
        client.raw(append("Content-Length: 100000\r\nExpect: 100-continue"));
        RawConnection to = server.take();
        assertNull(to.head().get("Expect"));
        assertEquals("HTTP/1.1 100 Continue", client.head().get(""));
        byte[] body = noise(100_000);
        client.raw(body);
        assertArrayEquals(body, to.bytes(100_000));
        to.raw("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        assertEquals("HTTP/1.1 200 OK", client.head().get(""));
    }

    /** The client's time runs from its last byte, not from its first. */
    @Test
    void timeRunsFromTheLastByte() throws Exception {
        start("");
        client.raw(append("Transfer-Encoding: chunked").replace("2000", "300")).chunk("a");
        RawConnection to = answering();
        to.chunk();
        try (RawConnection other = RawConnection.to(harness.address)) {
            other.raw(SidecarHarness.Client.head("GET", "/search/k1", 400, "", 0));
            answering();
            assertTrue(other.head().get("").startsWith("HTTP/1.1 50"));
        }
        client.raw("0\r\n\r\n");
        to.chunks();
        to.trailers();
        // And then it does run.
        assertEquals("HTTP/1.1 504 Gateway Timeout", client.head().get(""));
    }

    @Test
    void whatIsKeptGoesToAnotherServerWhole() throws Exception {
        try (RawConnection.Server other = server.another()) {
            harness =
                    new SidecarHarness(folder, 250_000, 1024, List.of(server.port(), other.port()));
            harness.extended(ON.replace("MORE", "")).start();
            client = RawConnection.to(harness.address);
            client.raw(append("Transfer-Encoding: chunked")).chunk("first");
            RawConnection to = answering();
            to.chunk();
            to.raw("HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n");
            to.awaitEnd();
            RawConnection next = answering();
            assertEquals("first", new String(next.chunk(), UTF_8));
            client.chunk("second").raw("0\r\n\r\n");
            assertEquals("second", new String(next.chunks(), UTF_8));
            next.trailers();
            next.raw("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            assertEquals("HTTP/1.1 200 OK", client.head().get(""));
        }
    }

    /**
     * Past the replay buffer it never goes out again; it has not run, so it may be refused, at
     * once.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void whatIsNotKeptIsRefusedAtOnce(boolean dies) throws Exception {
        start(",'replay_bytes':4");
        client.raw(append("Transfer-Encoding: chunked")).chunk("first");
        RawConnection to = answering();
        to.chunk();
        if (dies) {
            to.close();
        } else {
            to.raw("HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n");
        }
        Map<String, String> refused = client.head();
        assertEquals("HTTP/1.1 503 Service Unavailable", refused.get(""));
        assertNotNull(refused.get("Retry-After"));
        assertEquals("close", refused.get("Connection"));
        assertTrue(server.none());
    }

    @Test
    void errorBeforeTheBodyIsWholePassesAndEndsBoth() throws Exception {
        start("");
        client.raw(append("Content-Length: 100000") + "begin");
        RawConnection to = answering();
        to.text(5);
        to.raw("HTTP/1.1 413 Too Much\r\nContent-Length: 2\r\n\r\nno");
        Map<String, String> head = client.head();
        assertTrue(head.get("").startsWith("HTTP/1.1 413 "), head.get(""));
        assertEquals("no", client.text(2));
        to.awaitEnd();
        client.raw(new byte[50_000]).socket.shutdownOutput();
        client.awaitEnd();
        assertTrue(server.none());
    }

    /**
     * A server begins a request with its last byte: an answer of 200 before it is no answer to it.
     */
    @Test
    void answerBeforeTheBodyIsWholeIsNone() throws Exception {
        start(",'replay_bytes':4");
        client.raw(append("Content-Length: 100000") + "begin");
        RawConnection to = answering();
        to.text(5);
        to.raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno");
        to.awaitEnd();
        assertEquals("HTTP/1.1 503 Service Unavailable", client.head().get(""));
    }

    @Test
    void clientThatBringsNothingIsGivenUp() throws Exception {
        start(",'read_stall_ms':100");
        client.raw(append("Content-Length: 100000") + "begin");
        RawConnection to = answering();
        assertEquals("HTTP/1.1 408 Request Timeout", client.head().get(""));
        to.awaitEnd();
    }

    @Test
    void serverThatTakesNothingIsGivenUp() throws Exception {
        start(",'write_stall_ms':100,'replay_bytes':4,'high_watermark_bytes':5000");
        client.raw(append("Content-Length: 90000000"));
        RawConnection to = answering();
        Thread writing =
                new Thread(
                        () -> {
                            try {
                                for (int i = 0; i < 90; i++) {
                                    client.raw(new byte[1_000_000]);
                                }
                            } catch (IOException e) {
                                // Closed after the answer.
                            }
                        });
        writing.start();
        assertEquals("HTTP/1.1 503 Service Unavailable", client.head().get(""));
        to.awaitEnd();
        writing.join();
        assertBounded();
    }

    /** Nothing hidden is passed on: the server never sees the end of such a body. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "Content-Length: 70000 | 0 | GET /export/k2 HTTP/1.1\\r\\n\\r\\n | 400",
                "Transfer-Encoding: chunked | 3\\r"
                        + "\\n"
                        + "abc\\r"
                        + "\\n"
                        + "0\\r"
                        + "\\n"
                        + "\\r"
                        + "\\n"
                        + " | GET / HTTP/1.1\\r"
                        + "\\n"
                        + "\\r"
                        + "\\n"
                        + " | 400",
                "Transfer-Encoding: chunked | 3\\r\\nabc\\r\\nzz\\r\\n | '' | 400",
                "Transfer-Encoding: chunked | 3\\r\\nabc\\r\\n-1\\r\\n | '' | 400",
                "Transfer-Encoding: chunked | 3\\r\\nabc\\r\\nffffffffffffffffff\\r\\n | '' | 400",
                "Content-Length: 70000\\r\\nTransfer-Encoding: chunked | 0\\r\\n\\r\\n | '' | 413",
                "Content-Length: 200000000 | '' | '' | 413",
                "Transfer-Encoding: gzip, chunked | 3\\r\\nabc\\r\\n0\\r\\n\\r\\n | '' | 400",
            })
    void spoiltBodyEndsInAnError(String framing, String body, String behind, int status)
            throws Exception {
        start("");
        String text = body.equals("0") ? "x".repeat(70_000) : body.replace("\\r\\n", "\r\n");
        client.raw(
                append(framing.replace("\\r\\n", "\r\n"))
                        + text
                        + behind.replace("\\r\\n", "\r\n"));
        String first = client.head().get("");
        assertTrue(first.startsWith("HTTP/1.1 " + status), first);
        if (!server.none()) {
            RawConnection to = answering();
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
    void trailersWithoutEndAreNotPassedOn() throws Exception {
        start("");
        client.raw(append("Transfer-Encoding: chunked")).chunk("abc").raw("0\r\n");
        RawConnection to = answering();
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
    void bodyPastItsBoundIsTooLarge() throws Exception {
        harness = new SidecarHarness(folder, 250_000, 1024, List.of(server.port()));
        harness.extended("{'streaming':{'classes':{'append':{'max_request_bytes':4}}}}").start();
        client = RawConnection.to(harness.address);
        client.raw(append("Transfer-Encoding: chunked")).chunk("abc");
        RawConnection to = answering();
        to.chunk();
        client.chunk("de");
        assertTrue(client.head().get("").startsWith("HTTP/1.1 413"));
        assertThrows(IOException.class, to::chunks);
    }

    @Test
    void clientThatLeavesMidUploadEndsItAtTheServer() throws Exception {
        start("");
        client.raw(append("Content-Length: 100000") + "begin");
        RawConnection to = answering();
        client.close();
        assertThrows(IOException.class, () -> to.bytes(100_000));
    }

    @Test
    void uploadsAreEndedOrAnsweredBeforeTheSidecarEnds() throws Exception {
        start(",'drain_ms':1000");
        client.raw(append("Transfer-Encoding: chunked")).chunk("abc");
        RawConnection to = answering();
        to.chunk();
        try (RawConnection slow = RawConnection.to(harness.address)) {
            slow.raw(append("Transfer-Encoding: chunked")).chunk("abc");
            RawConnection second = answering();
            CountDownLatch ended = harness.stop();
            client.raw("0\r\n\r\n");
            to.chunks();
            to.raw("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            assertEquals("HTTP/1.1 200 OK", client.head().get(""));
            assertEquals("HTTP/1.1 504 Gateway Timeout", slow.head().get(""));
            second.awaitEnd();
            slow.socket.close();
            assertTrue(ended.await(10, TimeUnit.SECONDS));
        }
    }

    @Test
    void bigUploadArrivesWholeAtASlowServer() throws Exception {
        start(",'high_watermark_bytes':5000");
        byte[] body = noise(BIG);
        Thread writing =
                new Thread(
                        () -> {
                            try {
                                client.raw(append("Content-Length: " + BIG)).raw(body);
                            } catch (IOException e) {
                                // The server sees too little.
                            }
                        });
        writing.start();
        RawConnection to = answering();
        for (int at = 0; at < BIG; at += BIG / 300) {
            assertArrayEquals(Arrays.copyOfRange(body, at, at + BIG / 300), to.bytes(BIG / 300));
        }
        to.raw("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        assertEquals("HTTP/1.1 200 OK", client.head().get(""));
        writing.join();
    }

    /** Without the section all is as it was: bodies of 64 KiB, collected. */
    @Test
    void withoutTheSectionNothingStreams() throws Exception {
        harness = new SidecarHarness(folder, 250_000, 1024, List.of(server.port()));
        harness.start();
        client = RawConnection.to(harness.address);
        RawConnection to = export(client);
        to.raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                .chunk("abc")
                .raw("0\r\n\r\n");
        assertEquals("3", client.head().get("Content-Length"));
        assertEquals("abc", client.text(3));
        client.raw(append("Content-Length: 70000"));
        assertTrue(client.head().get("").startsWith("HTTP/1.1 413"));
    }
}
