package sagefall.http;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import sagefall.buffer.BufferLimits;
import sagefall.buffer.BufferMemory;

/** Tests one client connection against a server that sends the raw bytes a test writes. */
class HttpClientConnectionTest {

    private static final long CONNECT_TIMEOUT_MICROS = 5_000_000;
    private static final long EVENT_TIMEOUT_SECONDS = 20;

    /** Milliseconds without an event after which a test assumes that no further event follows. */
    private static final long QUIET_MILLIS = 100;

    /** Value of {@code maxStreamedBytes} with which a response is buffered and not streamed. */
    private static final int NOT_STREAMED = 0;

    /** Maximum bytes of a streamed response in tests that stream. */
    private static final int MAX_STREAMED_BYTES = 10;

    private static final String RESPONSE = "HTTP/1.1 200 OK\nContent-Length: 2\n\nok";
    private static final String OTHER_RESPONSE = "HTTP/1.1 200 OK\nContent-Length: 2\n\nno";

    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private ServerSocket server;
    private BufferMemory memory =
            new BufferMemory(new BufferLimits(1_000_000, 1_000_000), line -> {});
    private HttpClientConnection connection;

    /** Appends each reported event to {@link #events} as a short text. */
    private final class Recorder implements HttpConnectionListener {
        @Override
        public void connectionOpened() {
            events.add("opened");
        }

        @Override
        public void requestWritten() {
            events.add("written");
        }

        @Override
        public void responseCollected(FullHttpResponse response, ResponseEnding ending) {
            events.add("collected " + response.content().toString(US_ASCII) + " " + ending);
        }

        @Override
        public void responseStarted(HttpResponse head) {
            events.add("started");
        }

        @Override
        public void responsePart(ByteBuf part) {
            events.add("part " + part.toString(US_ASCII));
            part.release();
        }

        @Override
        public void responseFinished(HttpHeaders trailers, ResponseEnding ending) {
            events.add("finished " + ending);
        }

        @Override
        public void unsolicitedInput() {
            events.add("unsolicited");
        }

        @Override
        public void connectionClosed() {
            events.add("closed");
        }
    }

    @BeforeEach
    void listen() throws IOException {
        server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void close() throws Exception {
        server.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    private void connect() throws Exception {
        InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
        connection =
                loop.submit(
                                () ->
                                        new HttpClientConnection(
                                                loop,
                                                address,
                                                HttpClientConnection.MAX_BODY_BYTES,
                                                CONNECT_TIMEOUT_MICROS,
                                                memory,
                                                ResponseBuffering.DROPPABLE,
                                                new Recorder()))
                        .get();
    }

    private Socket connectAndAccept() throws Exception {
        connect();
        Socket peer = server.accept();
        assertEquals("opened", nextEvent());
        return peer;
    }

    private Socket connectAndSendRequest(int maxStreamedBytes) throws Exception {
        Socket peer = connectAndAccept();
        sendRequest(maxStreamedBytes);
        return peer;
    }

    private void sendRequest(int maxStreamedBytes) throws Exception {
        loop.submit(
                        () ->
                                connection.send(
                                        new DefaultFullHttpRequest(
                                                HttpVersion.HTTP_1_1,
                                                HttpMethod.GET,
                                                "/",
                                                Unpooled.EMPTY_BUFFER),
                                        maxStreamedBytes))
                .get();
        assertEquals("written", nextEvent());
    }

    /** Writes a text with CR LF line ends. */
    private static void write(Socket peer, String text) throws IOException {
        peer.getOutputStream().write(text.replace("\n", "\r\n").getBytes(US_ASCII));
    }

    private String nextEvent() throws InterruptedException {
        String event = events.poll(EVENT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertNotNull(event, "no event was reported");
        return event;
    }

    private void assertNoFurtherEvent() throws InterruptedException {
        assertNull(events.poll(QUIET_MILLIS, TimeUnit.MILLISECONDS));
    }

    private void assertClosedOnce() throws InterruptedException {
        assertEquals("closed", nextEvent());
        assertNoFurtherEvent();
    }

    @Test
    void refusedConnectionIsReportedAsClosedOnce() throws Exception {
        InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
        server.close();
        loop.submit(
                        () ->
                                new HttpClientConnection(
                                        loop,
                                        address,
                                        HttpClientConnection.MAX_BODY_BYTES,
                                        CONNECT_TIMEOUT_MICROS,
                                        memory,
                                        ResponseBuffering.DROPPABLE,
                                        new Recorder()))
                .get();
        assertClosedOnce();
    }

    /** Guards against a fault in which responses that stopped held memory without a limit. */
    @Test
    void partOfAResponseIsDroppedAtTheMemoryLimit() throws Exception {
        memory = new BufferMemory(new BufferLimits(0, 30_000), line -> {});
        try (Socket peer = connectAndSendRequest(NOT_STREAMED)) {
            write(peer, "HTTP/1.1 200 OK\nContent-Length: 60000\n\n" + "x".repeat(50_000));
            assertClosedOnce();
        }
        assertEquals(0, loop.submit(memory::heapBytes).get());
    }

    @Test
    void responseWithTooManyHeaderFieldsClosesTheConnection() throws Exception {
        try (Socket peer = connectAndSendRequest(NOT_STREAMED)) {
            int fields = HeaderFieldCounter.MAX_FIELDS;
            write(peer, "HTTP/1.1 200 OK\n" + "a: b\n".repeat(fields) + "Content-Length: 0\n\n");
            assertClosedOnce();
        }
    }

    @Test
    void connectionIsReusableAfterACleanResponse() throws Exception {
        try (Socket peer = connectAndSendRequest(NOT_STREAMED)) {
            write(peer, "HTTP/1.1 200 OK\nContent-Length: 2\n\nok");
            assertEquals("collected ok REUSABLE", nextEvent());
            sendRequest(NOT_STREAMED);
            write(peer, "HTTP/1.1 200 OK\nContent-Length: 3\n\ntwo");
            assertEquals("collected two REUSABLE", nextEvent());
            assertNoFurtherEvent();
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"HTTP/1.1", "x", "noise\n\n", "HTTP/1.1 100 Continue\n\n", OTHER_RESPONSE})
    void surplusBytesAfterAResponseAreReported(String surplus) throws Exception {
        try (Socket peer = connectAndSendRequest(NOT_STREAMED)) {
            write(peer, RESPONSE + surplus);
            assertEquals("collected ok SURPLUS", nextEvent());
        }
    }

    @Test
    void copyOfAResponseIsToldFromSurplusBytes() throws Exception {
        try (Socket peer = connectAndSendRequest(NOT_STREAMED)) {
            write(peer, RESPONSE + RESPONSE);
            assertEquals("collected ok DUPLICATED", nextEvent());
        }
    }

    /**
     * Guards against a fault in which surplus bytes were not noticed if the response ended where a
     * read ended. The sizes are those of the first read and of the first two reads together.
     */
    @ParameterizedTest
    @ValueSource(ints = {2048, 2048 + 16 * 1024})
    void surplusBytesAreReportedIfTheResponseFillsTheReads(int responseBytes) throws Exception {
        try (Socket peer = connectAndSendRequest(NOT_STREAMED)) {
            String head = String.format("HTTP/1.1 200 OK\nContent-Length: %05d\n\n", 0);
            int bodyBytes = responseBytes - head.replace("\n", "\r\n").length();
            String body = "b".repeat(bodyBytes);
            write(peer, head.replace("00000", String.format("%05d", bodyBytes)) + body + "x");
            assertEquals("collected " + body + " SURPLUS", nextEvent());
        }
    }

    /** Two statements of where a response ends contradict each other, or may do so. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 2\nContent-Length: 2",
                "Content-Length: 2\nContent-Length: 3",
                "Content-Length: 2\nTransfer-Encoding: chunked",
                "Transfer-Encoding: chunked\nContent-Length: 2"
            })
    void responseWithTwoLengthsClosesTheConnection(String fields) throws Exception {
        try (Socket peer = connectAndSendRequest(NOT_STREAMED)) {
            write(peer, "HTTP/1.1 200 OK\n" + fields + "\n\n2\nok\n0\n\n");
            assertClosedOnce();
        }
    }

    @Test
    void bytesAfterTheLastChunkAreReported() throws Exception {
        try (Socket peer = connectAndSendRequest(NOT_STREAMED)) {
            write(peer, "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n2\nok\n0\n\n1\nx\n");
            assertEquals("collected ok SURPLUS", nextEvent());
        }
    }

    @Test
    void bodyOfAResponseWithoutContentIsReportedAsSurplus() throws Exception {
        try (Socket peer = connectAndSendRequest(NOT_STREAMED)) {
            write(peer, "HTTP/1.1 204 No Content\nContent-Length: 2\n\nok");
            assertEquals("collected  SURPLUS", nextEvent());
        }
    }

    @Test
    void unsolicitedBytesCloseAnIdleConnection() throws Exception {
        try (Socket peer = connectAndAccept()) {
            write(peer, "H");
            assertEquals("unsolicited", nextEvent());
            assertClosedOnce();
        }
    }

    @Test
    void halfCloseByTheServerCompletesAResponseWithoutLength() throws Exception {
        try (Socket peer = connectAndSendRequest(NOT_STREAMED)) {
            write(peer, "HTTP/1.1 200 OK\n\nok");
            assertNoFurtherEvent();
            peer.shutdownOutput();
            assertEquals("collected ok CONNECTION_ENDED", nextEvent());
            assertClosedOnce();
        }
    }

    @Test
    void resetDoesNotCompleteAResponseWithoutLength() throws Exception {
        try (Socket peer = connectAndSendRequest(NOT_STREAMED)) {
            write(peer, "HTTP/1.1 200 OK\n\nok");
            assertNoFurtherEvent();
            // With a linger time of 0, the close at the end of this block sends a reset.
            peer.setSoLinger(true, 0);
        }
        assertClosedOnce();
    }

    @Test
    void informationalResponsesAreSkipped() throws Exception {
        try (Socket peer = connectAndSendRequest(NOT_STREAMED)) {
            write(peer, "HTTP/1.1 103 Early Hints\n\nHTTP/1.1 200 OK\nContent-Length: 2\n\nok");
            assertEquals("collected ok REUSABLE", nextEvent());
        }
    }

    @Test
    void streamedResponseIsReportedInParts() throws Exception {
        try (Socket peer = connectAndSendRequest(MAX_STREAMED_BYTES)) {
            write(peer, "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n2\nab\n");
            assertEquals("started", nextEvent());
            assertEquals("part ab", nextEvent());
            write(peer, "1\nc\n0\n\n");
            assertEquals("part c", nextEvent());
            assertEquals("finished REUSABLE", nextEvent());
            assertNoFurtherEvent();
        }
    }

    @Test
    void streamedResponseBeyondItsLimitClosesTheConnection() throws Exception {
        try (Socket peer = connectAndSendRequest(MAX_STREAMED_BYTES)) {
            write(peer, "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n");
            assertEquals("started", nextEvent());
            write(peer, "b\n0123456789a\n0\n\n");
            assertClosedOnce();
        }
    }

    @Test
    void responseWithUnknownEndClosesTheConnectionInsteadOfBeingStreamed() throws Exception {
        try (Socket peer = connectAndSendRequest(MAX_STREAMED_BYTES)) {
            write(peer, "HTTP/1.1 200 OK\n\nab");
            assertClosedOnce();
        }
    }

    @Test
    void responseWithAStatusOtherThan200IsBufferedInsteadOfStreamed() throws Exception {
        try (Socket peer = connectAndSendRequest(MAX_STREAMED_BYTES)) {
            write(peer, "HTTP/1.1 503 No\nContent-Length: 2\n\nno");
            assertEquals("collected no REUSABLE", nextEvent());
        }
    }
}
