package sagefall.proxy;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
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

    /** What the peer does with one request. */
    public interface Script {
        /** Runs on the thread that reads the connection; an exception ends the connection. */
        void on(ReceivedRequest seen) throws IOException;
    }

    /** Leaves each request to the test. */
    public static final Script SILENT = seen -> {};

    /** Closes the connection without an answer. */
    public static final Script HANG_UP = seen -> seen.socket().close();

    /** The requests that have come and that no test has taken. */
    public final BlockingQueue<ReceivedRequest> receivedRequests = new LinkedBlockingQueue<>();

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

    /** Answers each request in the same way, as {@link ReceivedRequest#reply} does. */
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
    public ReceivedRequest take() throws InterruptedException {
        ReceivedRequest next = receivedRequests.poll(AWAIT_SECONDS, TimeUnit.SECONDS);
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
                ReceivedRequest next = new ReceivedRequest(message, socket);
                // Whoever takes this request may change the script for the next one.
                Script current = script;
                receivedRequests.add(next);
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
