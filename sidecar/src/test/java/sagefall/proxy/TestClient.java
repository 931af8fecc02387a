package sagefall.proxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Assertions;

/** A client's connection. */
public final class TestClient implements AutoCloseable {
    private static final int READ_TIMEOUT_MILLIS = 10_000;

    private static int ids;

    final Socket socket;

    /** Connects to a sidecar. */
    TestClient(InetSocketAddress address) throws IOException {
        socket = new Socket(InetAddress.getLoopbackAddress(), address.getPort());
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    }

    /** An id that no other request of the process has, 16 characters long. */
    public static synchronized String id() {
        return String.format("%016x", ++ids);
    }

    /**
     * A request up to its body.
     *
     * @param headers further lines of the head, each with its end
     * @param length of the body; no header says it where it is 0
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

    /** Writes bytes, one for each character. */
    TestClient raw(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
        return this;
    }

    /** Sends an idempotent request without a body. */
    TestClient search(long timeoutMillis) throws IOException {
        return raw(head("GET", "/search/k1", timeoutMillis, "", 0));
    }

    /** Sends a request that is not idempotent. */
    TestClient book(String body, long timeoutMillis) throws IOException {
        return raw(head("POST", "/book/k1?x=1", timeoutMillis, "", body.length()) + body);
    }

    /** Asks for the sidecar's health. */
    TestClient healthCheck() throws IOException {
        return raw("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n");
    }

    /** Waits for the next answer; fails where the connection ends without one. */
    HttpMessages.Message answer() throws IOException {
        HttpMessages.Message answer = HttpMessages.read(socket.getInputStream());
        Assertions.assertNotNull(answer, "closed without an answer");
        return answer;
    }

    /** Waits for the end of the connection, before which nothing more may come. */
    void assertClosed() throws IOException {
        Assertions.assertEquals(-1, socket.getInputStream().read(), "more than one answer");
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
