package sagefall.proxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Assertions;

/** A client connection to a sidecar. */
public final class TestClient implements AutoCloseable {
    private static final int READ_TIMEOUT_MILLIS = 10_000;

    private static int lastId;

    final Socket socket;

    /** Connects to a sidecar. */
    TestClient(InetSocketAddress address) throws IOException {
        socket = new Socket(InetAddress.getLoopbackAddress(), address.getPort());
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    }

    /** Returns a request id of 16 characters that is unique in this process. */
    public static synchronized String id() {
        return String.format("%016x", ++lastId);
    }

    /**
     * Returns the head of a request.
     *
     * @param headers further header lines, each with its line end
     * @param length length of the body in bytes; 0 for a head without {@code Content-Length}
     */
    static String head(String method, String path, long timeoutMillis, String headers, int length) {
        return method
                + " "
                + path
                + " HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: "
                + id()
                + "\r\nTenant: acme\r\nRequest-Timeout-Ms: "
                + timeoutMillis
                + "\r\n"
                + headers
                + (length > 0 ? "Content-Length: " + length + "\r\n" : "")
                + "\r\n";
    }

    /** Writes the text with one byte for each character. */
    TestClient write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
        return this;
    }

    /** Sends a request of the idempotent request class {@code search}, without a body. */
    TestClient search(long timeoutMillis) throws IOException {
        return write(head("GET", "/search/k1", timeoutMillis, "", 0));
    }

    /** Sends a request of the request class {@code book}, which is not idempotent. */
    TestClient book(String body, long timeoutMillis) throws IOException {
        return write(head("POST", "/book/k1?x=1", timeoutMillis, "", body.length()) + body);
    }

    /** Sends a health check. */
    TestClient healthCheck() throws IOException {
        return write("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n");
    }

    /** Waits for the next response; fails if the connection closes without a response. */
    HttpMessages.Message readResponse() throws IOException {
        HttpMessages.Message response = HttpMessages.read(socket.getInputStream());
        Assertions.assertNotNull(response, "closed without a response");
        return response;
    }

    /** Waits until the server closes the connection; fails at a further byte or at a reset. */
    void assertClosed() throws IOException {
        Assertions.assertEquals(-1, socket.getInputStream().read(), "more than one response");
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
