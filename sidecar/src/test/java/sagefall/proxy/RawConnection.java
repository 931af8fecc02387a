package sagefall.proxy;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Assertions;

/**
 * One end of a connection. A test writes and reads single parts of messages on it, for example one
 * chunk of a body.
 */
final class RawConnection implements AutoCloseable {

    private static final int READ_TIMEOUT_MILLIS = 20_000;
    private static final int HEX_RADIX = 16;

    final Socket socket;
    private final InputStream in;

    RawConnection(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Connects to a sidecar as a client. */
    static RawConnection to(InetSocketAddress address) throws IOException {
        return new RawConnection(new Socket(InetAddress.getLoopbackAddress(), address.getPort()));
    }

    /** The head of a message; header names are case-insensitive. */
    record Head(String startLine, Map<String, String> headers) {
        /** Returns the value of a header, or null if it is missing. */
        String header(String name) {
            return headers.get(name);
        }
    }

    /** Writes the text with one byte for each character. */
    RawConnection write(String text) throws IOException {
        return write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Writes the bytes. */
    RawConnection write(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        return this;
    }

    /** Writes one chunk of a chunked body. */
    RawConnection chunk(String text) throws IOException {
        return write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    /** Reads a line and returns it without its line end. */
    String line() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        while (next != '\n') {
            if (next < 0) {
                throw new EOFException("connection closed within a line: " + line);
            }
            if (next != '\r') {
                line.write(next);
            }
            next = in.read();
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads the head of a message. */
    Head head() throws IOException {
        return new Head(line(), fields());
    }

    private Map<String, String> fields() throws IOException {
        Map<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = line(); !line.isEmpty(); line = line()) {
            int colon = line.indexOf(':');
            fields.put(line.substring(0, colon), line.substring(colon + 1).trim());
        }
        return fields;
    }

    /** Reads exactly {@code count} bytes. */
    byte[] bytes(int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException(
                    "connection closed after " + bytes.length + " of " + count + " bytes");
        }
        return bytes;
    }

    /** Reads exactly {@code count} bytes as text. */
    String text(int count) throws IOException {
        return new String(bytes(count), StandardCharsets.ISO_8859_1);
    }

    /** Returns the next chunk, or null for the last chunk, after which the trailers follow. */
    byte[] chunk() throws IOException {
        byte[] chunk = bytes(Integer.parseInt(line(), HEX_RADIX));
        if (chunk.length == 0) {
            return null;
        }
        Assertions.assertEquals("", line());
        return chunk;
    }

    /** Reads all remaining chunks, including the last chunk, and returns their content. */
    byte[] chunks() throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        byte[] next = chunk();
        while (next != null) {
            all.write(next);
            next = chunk();
        }
        return all.toByteArray();
    }

    /** Reads the trailers of a chunked body. */
    Map<String, String> trailers() throws IOException {
        return fields();
    }

    /** Reads chunks until the connection closes; fails if the body is complete. */
    void assertBroken() {
        Assertions.assertThrows(IOException.class, this::chunks);
    }

    /** Reads and discards everything until the connection closes. */
    void awaitEnd() {
        try {
            int next = in.read();
            while (next >= 0) {
                next = in.read();
            }
        } catch (SocketTimeoutException e) {
            Assertions.fail("the connection did not close");
        } catch (IOException e) {
            // The connection was reset, which also closes it.
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    /** A server that hands its connections to the test. */
    static final class Server implements AutoCloseable {
        private static final int BACKLOG = 50;
        private static final long AWAIT_SECONDS = 10;

        private final ServerSocket listening =
                new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        private final BlockingQueue<RawConnection> accepted;

        /** Starts to listen on a free port. */
        Server() throws IOException {
            this(new LinkedBlockingQueue<>());
        }

        private Server(BlockingQueue<RawConnection> accepted) throws IOException {
            this.accepted = accepted;
            Thread accepting = new Thread(this::accept, "raw-server");
            accepting.setDaemon(true);
            accepting.start();
        }

        private void accept() {
            try {
                while (true) {
                    accepted.add(new RawConnection(listening.accept()));
                }
            } catch (IOException e) {
                // The server was closed at the end of the test.
            }
        }

        /** Starts another server. {@link #take} returns the connections of both servers. */
        Server another() throws IOException {
            return new Server(accepted);
        }

        int port() {
            return listening.getLocalPort();
        }

        /** Waits for the next connection and returns it. */
        RawConnection take() throws InterruptedException {
            RawConnection next = accepted.poll(AWAIT_SECONDS, TimeUnit.SECONDS);
            Assertions.assertNotNull(next, "no connection arrived");
            return next;
        }

        /** Waits for the next connection without a time limit, and returns it. */
        RawConnection takeWithoutLimit() throws InterruptedException {
            return accepted.take();
        }

        /** Returns whether the test has taken all connections that have arrived. */
        boolean hasNoConnection() {
            return accepted.isEmpty();
        }

        @Override
        public void close() throws IOException {
            listening.close();
            for (RawConnection connection : accepted) {
                connection.close();
            }
        }
    }
}
