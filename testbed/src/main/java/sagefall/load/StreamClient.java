package sagefall.load;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A blocking client that downloads and uploads bodies of a {@link BytePattern} through a sidecar
 * and checks their CRC-32. Safe for use by several threads, each on a connection of its own.
 */
final class StreamClient {

    private static final int BUFFER_BYTES = 64 * 1024;
    private static final int NANOS_PER_MICRO = 1000;

    private final AtomicLong requestIds = new AtomicLong();
    private final AtomicInteger failures = new AtomicInteger();

    /**
     * Parameters of a download.
     *
     * @param length length of the body
     * @param seed seed of its bytes
     * @param serverPauseMillis pause of the server after the first bytes
     * @param readPauseMillis pause of the client after each 256 KiB
     */
    record Download(long length, int seed, long serverPauseMillis, long readPauseMillis) {}

    /** Returns the number of exchanges that failed or whose body had a wrong checksum. */
    int failures() {
        return failures.get();
    }

    /** Counts and prints a failure. */
    void recordFailure(String reason) {
        failures.incrementAndGet();
        System.out.println("  FAILED: " + reason);
    }

    /**
     * Downloads a body and checks it.
     *
     * @return the time to the first byte of the body in microseconds
     */
    long download(Socket socket, Download download) throws IOException {
        long startNanos = System.nanoTime();
        String path =
                "/export/"
                        + download.length
                        + "/"
                        + download.seed
                        + "/"
                        + download.serverPauseMillis;
        write(socket.getOutputStream(), requestHead("GET", path, 0));
        InputStream in = new BufferedInputStream(socket.getInputStream(), BUFFER_BYTES);
        readOkHead(in);
        in.mark(1);
        in.read();
        in.reset();
        long firstByteMicros = (System.nanoTime() - startNanos) / NANOS_PER_MICRO;
        long crc = BytePattern.readCrc(in, download.length, download.readPauseMillis);
        if (crc != BytePattern.crc(download.length, download.seed)) {
            recordFailure("wrong checksum of a download");
        }
        return firstByteMicros;
    }

    /** Uploads a body, and checks the length and the checksum that the server received. */
    void upload(Socket socket, long length, int seed) throws IOException {
        OutputStream out = socket.getOutputStream();
        write(out, requestHead("POST", "/append/" + seed, length));
        BytePattern.write(out, 0, length, seed);
        InputStream in = socket.getInputStream();
        HttpHead head = readOkHead(in);
        byte[] body = in.readNBytes((int) head.contentLength());
        String received = new String(body, StandardCharsets.US_ASCII).trim();
        if (!received.equals(BytePattern.describe(length, BytePattern.crc(length, seed)))) {
            recordFailure("wrong length or checksum of an upload");
        }
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static HttpHead readOkHead(InputStream in) throws IOException {
        HttpHead head = HttpHead.read(in);
        if (head == null || !head.isOk()) {
            throw new IOException("unexpected response: " + head);
        }
        return head;
    }

    private String requestHead(String method, String path, long length) {
        return method
                + " "
                + path
                + " HTTP/1.1\r\nHost: a\r\nRequest-Id: "
                + Long.toHexString(requestIds.incrementAndGet())
                + "\r\nTenant: one\r\nRequest-Timeout-Ms: 60000\r\n"
                + (length > 0 ? "Content-Length: " + length + "\r\n" : "")
                + "\r\n";
    }
}
