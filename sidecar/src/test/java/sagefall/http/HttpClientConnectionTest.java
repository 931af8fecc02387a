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

/** One connection against a server that writes bytes by hand. */
class HttpClientConnectionTest {

    private static final long CONNECT_MICROS = 5_000_000;
    private static final long EVENT_TIMEOUT_SECONDS = 20;
    private static final long QUIET_MILLIS = 100;
    private static final int COLLECTED = 0;
    private static final int MAX_STREAMED_BYTES = 10;

    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private ServerSocket server;
    private HttpClientConnection connection;

    /** Records what is reported, a word and its details a line. */
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
        public void responseCollected(FullHttpResponse answer, boolean clean) {
            events.add("collected " + answer.content().toString(US_ASCII) + " clean=" + clean);
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
                                                CONNECT_MICROS,
                                                true,
                                                new Recorder()))
                        .get();
    }

    private Socket connected() throws Exception {
        connect();
        Socket peer = server.accept();
        assertEquals("opened", event());
        return peer;
    }

    private Socket requested(int maxStreamedBytes) throws Exception {
        Socket peer = connected();
        request(maxStreamedBytes);
        return peer;
    }

    private void request(int maxStreamedBytes) throws Exception {
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
        assertEquals("written", event());
    }

    private static void write(Socket peer, String text) throws IOException {
        peer.getOutputStream().write(text.replace("\n", "\r\n").getBytes(US_ASCII));
    }

    private String event() throws InterruptedException {
        String event = events.poll(EVENT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertNotNull(event, "nothing was reported");
        return event;
    }

    private void assertNoFurtherEvent() throws InterruptedException {
        assertNull(events.poll(QUIET_MILLIS, TimeUnit.MILLISECONDS));
    }

    private void assertClosedOnce() throws InterruptedException {
        assertEquals("closed", event());
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
                                        CONNECT_MICROS,
                                        new Recorder()))
                .get();
        assertClosedOnce();
    }

    @Test
    void connectionIsUsableForFurtherRequestsAfterACleanResponse() throws Exception {
        try (Socket peer = requested(COLLECTED)) {
            write(peer, "HTTP/1.1 200 OK\nContent-Length: 2\n\nok");
            assertEquals("collected ok clean=true", event());
            request(COLLECTED);
            write(peer, "HTTP/1.1 200 OK\nContent-Length: 3\n\ntwo");
            assertEquals("collected two clean=true", event());
            assertNoFurtherEvent();
        }
    }

    @Test
    void responseWithSurplusBytesIsNotClean() throws Exception {
        try (Socket peer = requested(COLLECTED)) {
            write(peer, "HTTP/1.1 200 OK\nContent-Length: 2\n\nokHTTP/1.1");
            assertEquals("collected ok clean=false", event());
        }
    }

    @Test
    void unsolicitedBytesCloseAnIdleConnection() throws Exception {
        try (Socket peer = connected()) {
            write(peer, "H");
            assertClosedOnce();
        }
    }

    @Test
    void halfCloseByTheServerEndsAResponseWithoutLength() throws Exception {
        try (Socket peer = requested(COLLECTED)) {
            write(peer, "HTTP/1.1 200 OK\n\nok");
            assertNoFurtherEvent();
            peer.shutdownOutput();
            assertEquals("collected ok clean=false", event());
            assertClosedOnce();
        }
    }

    @Test
    void resetDoesNotCompleteAResponseWithoutLength() throws Exception {
        try (Socket peer = requested(COLLECTED)) {
            write(peer, "HTTP/1.1 200 OK\n\nok");
            assertNoFurtherEvent();
            // With this the close is a reset.
            peer.setSoLinger(true, 0);
        }
        assertClosedOnce();
    }

    @Test
    void interimResponsesAreSkipped() throws Exception {
        try (Socket peer = requested(COLLECTED)) {
            write(peer, "HTTP/1.1 103 Early Hints\n\nHTTP/1.1 200 OK\nContent-Length: 2\n\nok");
            assertEquals("collected ok clean=true", event());
        }
    }

    @Test
    void streamedResponseIsReportedInParts() throws Exception {
        try (Socket peer = requested(MAX_STREAMED_BYTES)) {
            write(peer, "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n2\nab\n");
            assertEquals("started", event());
            assertEquals("part ab", event());
            write(peer, "1\nc\n0\n\n");
            assertEquals("part c", event());
            assertEquals("finished clean=true", event());
            assertNoFurtherEvent();
        }
    }

    @Test
    void streamLongerThanItsLimitClosesTheConnection() throws Exception {
        try (Socket peer = requested(MAX_STREAMED_BYTES)) {
            write(peer, "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n");
            assertEquals("started", event());
            write(peer, "b\n0123456789a\n0\n\n");
            assertClosedOnce();
        }
    }

    @Test
    void streamWithoutAnnouncedEndIsNotBegun() throws Exception {
        try (Socket peer = requested(MAX_STREAMED_BYTES)) {
            write(peer, "HTTP/1.1 200 OK\n\nab");
            assertClosedOnce();
        }
    }

    @Test
    void otherStatusThanOkIsCollectedThoughItMayBeStreamed() throws Exception {
        try (Socket peer = requested(MAX_STREAMED_BYTES)) {
            write(peer, "HTTP/1.1 503 No\nContent-Length: 2\n\nno");
            assertEquals("collected no clean=true", event());
        }
    }
}
