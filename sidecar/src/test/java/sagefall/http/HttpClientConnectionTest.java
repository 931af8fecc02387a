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
        public void responseCollected(FullHttpResponse response, boolean clean) {
            events.add("collected " + response.content().toString(US_ASCII) + " clean=" + clean);
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
        public void responseFinished(HttpHeaders trailers, boolean clean) {
            events.add("finished clean=" + clean);
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
            assertEquals("collected ok clean=true", nextEvent());
            sendRequest(NOT_STREAMED);
            write(peer, "HTTP/1.1 200 OK\nContent-Length: 3\n\ntwo");
            assertEquals("collected two clean=true", nextEvent());
            assertNoFurtherEvent();
        }
    }

    @Test
    void responseWithSurplusBytesIsNotClean() throws Exception {
        try (Socket peer = connectAndSendRequest(NOT_STREAMED)) {
            write(peer, "HTTP/1.1 200 OK\nContent-Length: 2\n\nokHTTP/1.1");
            assertEquals("collected ok clean=false", nextEvent());
        }
    }

    @Test
    void unsolicitedBytesCloseAnIdleConnection() throws Exception {
        try (Socket peer = connectAndAccept()) {
            write(peer, "H");
            assertClosedOnce();
        }
    }

    @Test
    void halfCloseByTheServerCompletesAResponseWithoutLength() throws Exception {
        try (Socket peer = connectAndSendRequest(NOT_STREAMED)) {
            write(peer, "HTTP/1.1 200 OK\n\nok");
            assertNoFurtherEvent();
            peer.shutdownOutput();
            assertEquals("collected ok clean=false", nextEvent());
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
            assertEquals("collected ok clean=true", nextEvent());
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
            assertEquals("finished clean=true", nextEvent());
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
            assertEquals("collected no clean=true", nextEvent());
        }
    }
}
