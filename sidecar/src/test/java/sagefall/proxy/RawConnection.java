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
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Assertions;

/**
 * One end of a connection whose bytes a test brings and takes one by one: bodies are not read
 * ahead.
 */
final class RawConnection implements AutoCloseable {

    final Socket socket;
    private final InputStream in;

    RawConnection(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(20_000);
        in = new BufferedInputStream(socket.getInputStream());
    }

    static RawConnection to(InetSocketAddress address) throws IOException {
        return new RawConnection(new Socket(InetAddress.getLoopbackAddress(), address.getPort()));
    }

    RawConnection raw(String text) throws IOException {
        return raw(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    RawConnection raw(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        return this;
    }

    RawConnection chunk(String text) throws IOException {
        return raw(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    String line() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c; (c = in.read()) != '\n'; ) {
            if (c < 0) {
                throw new EOFException("ended within a line: " + line);
            }
            if (c != '\r') {
                line.write(c);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** A head; its first line goes under the empty name. */
    Map<String, String> head() throws IOException {
        Map<String, String> head = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        head.put("", line());
        head.putAll(fields());
        return head;
    }

    private Map<String, String> fields() throws IOException {
        Map<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = line(); !line.isEmpty(); line = line()) {
            fields.put(
                    line.substring(0, line.indexOf(':')),
                    line.substring(line.indexOf(':') + 1).trim());
        }
        return fields;
    }

    byte[] bytes(int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("ended after " + bytes.length + " of " + count);
        }
        return bytes;
    }

    String text(int count) throws IOException {
        return new String(bytes(count), StandardCharsets.ISO_8859_1);
    }

    /** The next chunk; null for the last one. */
    byte[] chunk() throws IOException {
        byte[] chunk = bytes(Integer.parseInt(line(), 16));
        if (chunk.length == 0) {
            return null;
        }
        Assertions.assertEquals("", line());
        return chunk;
    }

    /** What still comes up to the last chunk. */
    byte[] chunks() throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (byte[] chunk; (chunk = chunk()) != null; ) {
            all.write(chunk);
        }
        return all.toByteArray();
    }

    Map<String, String> trailers() throws IOException {
        return fields();
    }

    /** Reads to the end of the connection, and fails if it ends with a last chunk. */
    void assertBroken() throws IOException {
        Assertions.assertThrows(IOException.class, this::chunks);
    }

    /** Whatever still comes, the connection ends. */
    void awaitEnd() {
        try {
            while (in.read() >= 0) {
                // The condition reads.
            }

        } catch (java.net.SocketTimeoutException e) {
            Assertions.fail("the connection did not end");
        } catch (IOException e) {
            // Reset, which is an end too.
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    /** A peer whose connections are handed to the test. */
    static final class Server implements AutoCloseable {
        private final ServerSocket listening =
                new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        private final BlockingQueue<RawConnection> came;

        Server() throws IOException {
            this(new LinkedBlockingQueue<>());
        }

        /** One of several whose connections come to the same place. */
        Server(BlockingQueue<RawConnection> came) throws IOException {
            this.came = came;
            Thread accepting =
                    new Thread(
                            () -> {
                                try {
                                    while (true) {
                                        came.add(new RawConnection(listening.accept()));
                                    }
                                } catch (IOException e) {
                                    // Closed: the test is over.
                                }
                            },
                            "wire");
            accepting.setDaemon(true);
            accepting.start();
        }

        /** Another that hands its connections to the same place. */
        Server another() throws IOException {
            return new Server(came);
        }

        int port() {
            return listening.getLocalPort();
        }

        RawConnection take() throws InterruptedException {
            RawConnection next = came.poll(10, TimeUnit.SECONDS);
            Assertions.assertNotNull(next, "no connection came");
            return next;
        }

        boolean none() {
            return came.isEmpty();
        }

        @Override
        public void close() throws IOException {
            listening.close();
            for (RawConnection wire : came) {
                wire.close();
            }
        }
    }
}
