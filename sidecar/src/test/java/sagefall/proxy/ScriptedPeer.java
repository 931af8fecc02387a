package sagefall.proxy;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Assertions;

/**
 * A server or a discovery on a free loopback port: a script says what it does with each request,
 * and the test may take the requests and answer them itself. Each connection is read by a thread of
 * its own, on which the script runs.
 */
public final class ScriptedPeer implements AutoCloseable {

    private static final int BACKLOG = 50;
    private static final long AWAIT_SECONDS = 10;

    /** A request as it came, and the connection that it came on. */
    public record Seen(HttpMessages.Message request, Socket socket) {
        /**
         * Answers it.
         *
         * @param status code and reason
         * @param headers further lines of the head, each with its end
         * @param body one byte a character
         */
        public void reply(String status, String headers, String body) throws IOException {
            raw(
                    "HTTP/1.1 "
                            + status
                            + "\r\n"
                            + headers
                            + "Content-Length: "
                            + body.length()
                            + "\r\n\r\n"
                            + body);
        }

        /** Writes bytes, one for each character. */
        void raw(String text) throws IOException {
            OutputStream out = socket.getOutputStream();
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
    }

    /** What the peer does with one request. */
    public interface Script {
        /** Runs on the thread that reads the connection; an exception ends the connection. */
        void on(Seen seen) throws IOException;
    }

    /** Leaves each request to the test. */
    public static final Script SILENT = seen -> {};

    /** Closes the connection without an answer. */
    public static final Script HANG_UP = seen -> seen.socket().close();

    /** The requests that have come and that no test has taken. */
    public final BlockingQueue<Seen> seen = new LinkedBlockingQueue<>();

    /** How many connections have come up. */
    public final AtomicInteger accepted = new AtomicInteger();

    private final BlockingQueue<Socket> endedConnections = new LinkedBlockingQueue<>();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final ServerSocket listening;
    private final Thread accepting;
    private volatile Script script;

    /** Listens from now on. */
    ScriptedPeer(Script script) throws IOException {
        this.script = script;
        listening = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        accepting = startDaemon(this::accept);
    }

    /** Answers each request in the same way, as {@link Seen#reply} does. */
    public static Script answers(String status, String headers, String body) {
        return seen -> seen.reply(status, headers, body);
    }

    /** Answers each request with 200 and this body. */
    public static Script serves(String body) {
        return answers("200 OK", "", body);
    }

    /** From the next request on another script runs. */
    public void script(Script next) {
        script = next;
    }

    /** The port that it listens on. */
    public int port() {
        return listening.getLocalPort();
    }

    /** Waits for the next request that no test has taken yet. */
    public Seen take() throws InterruptedException {
        Seen next = seen.poll(AWAIT_SECONDS, TimeUnit.SECONDS);
        Assertions.assertNotNull(next, "no request came");
        return next;
    }

    /** Waits for the end of a connection, each of which counts once. */
    public void awaitEnd() throws InterruptedException {
        Socket ended = endedConnections.poll(AWAIT_SECONDS, TimeUnit.SECONDS);
        Assertions.assertNotNull(ended, "no connection ended");
    }

    private static Thread startDaemon(Runnable task) {
        Thread thread = new Thread(task, "scripted-peer");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listening.accept();
                sockets.add(socket);
                accepted.incrementAndGet();
                startDaemon(() -> serve(socket));
            }
        } catch (IOException e) {
            // Closed: the test is over.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            HttpMessages.Message message = HttpMessages.read(in);
            while (message != null) {
                Seen next = new Seen(message, socket);
                // Whoever takes this request may change the script for the next one.
                Script current = script;
                seen.add(next);
                current.on(next);
                message = HttpMessages.read(in);
            }
        } catch (IOException e) {
            // The peer hung up, which a test may want.
        } finally {
            endedConnections.add(socket);
        }
    }

    /**
     * Once this returns, connections are refused: while the accepting thread runs, some still come
     * up.
     */
    @Override
    public void close() throws IOException {
        listening.close();
        try {
            accepting.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
