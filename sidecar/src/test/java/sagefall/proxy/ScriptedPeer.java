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
 * A server or a discovery service on a free loopback port. A script handles each request. The test
 * may also take the requests and respond to them. Each connection has its own thread, which reads
 * the requests and runs the script.
 */
public final class ScriptedPeer implements AutoCloseable {

    private static final int BACKLOG = 50;
    private static final long AWAIT_SECONDS = 10;

    /** Handles a request. */
    public interface Script {
        /** Runs on the thread that reads the connection; an exception closes the connection. */
        void on(ReceivedRequest received) throws IOException;
    }

    /** Leaves each request to the test. */
    public static final Script SILENT = received -> {};

    /** Closes the connection without a response. */
    public static final Script CLOSE_CONNECTION = received -> received.socket().close();

    /** Requests that have arrived and that the test has not taken yet. */
    public final BlockingQueue<ReceivedRequest> receivedRequests = new LinkedBlockingQueue<>();

    /** Number of connections that have been accepted. */
    public final AtomicInteger accepted = new AtomicInteger();

    private final BlockingQueue<Socket> closedConnections = new LinkedBlockingQueue<>();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final ServerSocket listening;
    private final Thread accepting;
    private volatile Script script;

    /** Starts to listen on a free port. */
    ScriptedPeer(Script script) throws IOException {
        this.script = script;
        listening = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        accepting = startDaemon(this::accept);
    }

    /** Sends the given response to each request, as {@link ReceivedRequest#respond} does. */
    public static Script respondsWith(String status, String headers, String body) {
        return received -> received.respond(status, headers, body);
    }

    /** Responds to each request with 200 and the given body. */
    public static Script respondsOk(String body) {
        return respondsWith("200 OK", "", body);
    }

    /** Sets the script that handles all requests that arrive after this call. */
    public void script(Script next) {
        script = next;
    }

    /** Returns the port of the listening socket. */
    public int port() {
        return listening.getLocalPort();
    }

    /** Waits for the next request that the test has not taken yet, and returns it. */
    public ReceivedRequest take() throws InterruptedException {
        ReceivedRequest next = receivedRequests.poll(AWAIT_SECONDS, TimeUnit.SECONDS);
        Assertions.assertNotNull(next, "no request arrived");
        return next;
    }

    /** Waits for the close of a connection. Each call waits for a different connection. */
    public void awaitConnectionEnd() throws InterruptedException {
        Socket closed = closedConnections.poll(AWAIT_SECONDS, TimeUnit.SECONDS);
        Assertions.assertNotNull(closed, "no connection closed");
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
            // The peer was closed at the end of the test.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            HttpMessages.Message message = HttpMessages.read(in);
            while (message != null) {
                ReceivedRequest next = new ReceivedRequest(message, socket);
                // Reads the script before the test can take the request. As soon as the test has
                // taken the request, it may set the script for the next request.
                Script current = script;
                receivedRequests.add(next);
                current.on(next);
                message = HttpMessages.read(in);
            }
        } catch (IOException e) {
            // The other side has closed the connection, which a test may intend.
        } finally {
            closedConnections.add(socket);
        }
    }

    /**
     * Closes the sockets. Waits for the accepting thread, because that thread may still accept a
     * connection. After this method has returned, new connections are refused.
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
