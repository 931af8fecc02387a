package sagefall.proxy;

import java.io.IOException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A save server on a free loopback port that reads bodies by length and in chunks, and responds to
 * each complete request with 200. Each connection has its own thread.
 */
final class SaveServerPeer implements AutoCloseable {

    private static final int READ_BYTES = 8_192;
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    private final RawConnection.Server listening = new RawConnection.Server();
    private final Set<RawConnection> connections = ConcurrentHashMap.newKeySet();

    /** Starts to serve. */
    SaveServerPeer() throws IOException {
        startDaemon(this::accept);
    }

    int port() {
        return listening.port();
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task, "save-server");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                RawConnection connection = listening.takeWithoutLimit();
                connections.add(connection);
                startDaemon(() -> serve(connection));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void serve(RawConnection connection) {
        try (connection) {
            while (true) {
                readRequest(connection);
                connection.write(OK);
            }
        } catch (IOException e) {
            // The sidecar has closed the connection, which a test may intend.
        } finally {
            connections.remove(connection);
        }
    }

    private static void readRequest(RawConnection connection) throws IOException {
        RawConnection.Head head = connection.head();
        if (head.header("Transfer-Encoding") != null) {
            readChunks(connection);
        } else if (head.header("Content-Length") != null) {
            readBytes(connection, Integer.parseInt(head.header("Content-Length")));
        }
    }

    private static void readChunks(RawConnection connection) throws IOException {
        byte[] chunk = connection.chunk();
        while (chunk != null) {
            chunk = connection.chunk();
        }
        connection.trailers();
    }

    private static void readBytes(RawConnection connection, int length) throws IOException {
        int remaining = length;
        while (remaining > 0) {
            remaining -= connection.bytes(Math.min(remaining, READ_BYTES)).length;
        }
    }

    @Override
    public void close() throws IOException {
        listening.close();
        for (RawConnection connection : connections) {
            connection.close();
        }
    }
}
