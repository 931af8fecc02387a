package sagefall.load;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A stand-in for a save server and for discovery. The stand-in listens on loopback and is used for
 * tests and measurements of a sidecar. Each connection has a thread.
 *
 * <ul>
 *   <li>The response to {@code GET /CLASS/LENGTH/SEED/PAUSE_MS} is a {@link BytePattern} of that
 *       length and seed, with a pause after the first 100 bytes.
 *   <li>The response to any {@code POST} is the length and the CRC-32 of its body. {@link
 *       StandInService} sets the number of slots, the processing time and whether the server sends
 *       load reports; {@link StandInFaults} sets how many requests fail.
 *   <li>The response to {@code /v1/servers} is the endpoint list.
 * </ul>
 */
public final class StandInServer {

    private static final int BACKLOG = 1000;
    private static final int BUFFER_BYTES = 64 * 1024;
    private static final int PREFIX_BYTES = 100;
    private static final double MICROS_PER_MILLI = 1000;
    private static final double NANOS_PER_MICRO = 1000;
    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * Revision that is assumed for a sidecar without an endpoint list. Every list has a higher
     * revision, so the server sends its list at once.
     */
    private static final long NO_REVISION = -1;

    private final StandInDiscovery discovery;
    private final String id;
    private final String zone;
    private final int port;
    private final StandInService service;
    private final Semaphore slots;
    private final AtomicInteger inFlight = new AtomicInteger();
    private final AtomicLong served = new AtomicLong();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final long startNanos = System.nanoTime();
    private volatile StandInFaults faults = StandInFaults.NONE;
    private ServerSocket listeningSocket;

    /**
     * Starts a server on a loopback port, and registers it with discovery.
     *
     * @param port the port; 0 for any free port
     * @param zone zone that discovery reports for the server
     * @param service how the server processes a {@code POST}
     * @param discovery endpoint list that the server registers with and serves
     */
    public StandInServer(int port, String zone, StandInService service, StandInDiscovery discovery)
            throws IOException {
        this.discovery = discovery;
        this.zone = zone;
        this.service = service;
        slots = new Semaphore(service.slots(), true);
        listeningSocket = new ServerSocket(port, BACKLOG, InetAddress.getLoopbackAddress());
        this.port = listeningSocket.getLocalPort();
        id = "s-" + this.port;
        register(0);
        ServerSocket initialSocket = listeningSocket;
        DaemonThreads.start(() -> accept(initialSocket));
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return port;
    }

    String zone() {
        return zone;
    }

    /** Sets the fractions of requests that fail from now on. */
    public void setFaults(StandInFaults newFaults) {
        faults = newFaults;
    }

    private void register(long bootMillis) {
        discovery.put(id, port, zone, "in_service", bootMillis);
    }

    /**
     * Simulates a crash of the server: it refuses connections, and open connections are reset.
     * Discovery lists the server until {@link #deregister}.
     */
    synchronized void kill() throws IOException {
        listeningSocket.close();
        for (Socket socket : sockets) {
            reset(socket);
        }
    }

    /** Closes a connection with a reset, unless its own thread has closed it meanwhile. */
    static void reset(Socket socket) throws IOException {
        try {
            socket.setSoLinger(true, 0);
        } catch (SocketException e) {
            if (!socket.isClosed()) {
                throw e;
            }
        }
        socket.close();
    }

    /**
     * Simulates the start of a new process at the address of the killed server: listens at that
     * address again, and registers with discovery.
     */
    synchronized void restart() throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG);
        listeningSocket = socket;
        DaemonThreads.start(() -> accept(socket));
        register(System.currentTimeMillis());
    }

    /** Removes the server from discovery. */
    public void deregister() {
        discovery.remove(id);
    }

    private void accept(ServerSocket serverSocket) {
        try {
            while (true) {
                Socket socket = serverSocket.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                DaemonThreads.start(() -> serve(socket));
            }
        } catch (IOException e) {
            // The server was killed, or the program exits.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream(), BUFFER_BYTES);
            OutputStream out = socket.getOutputStream();
            HttpHead request = HttpHead.read(in);
            boolean staysOpen = true;
            while (request != null && staysOpen) {
                staysOpen = respond(request, socket, in, out);
                if (staysOpen) {
                    out.flush();
                    request = HttpHead.read(in);
                }
            }
        } catch (IOException | RuntimeException e) {
            // The sidecar closed the connection, or sent a request that this server cannot parse.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            sockets.remove(socket);
        }
    }

    /**
     * Sends the response to a request.
     *
     * @return whether the connection stays open
     */
    private boolean respond(HttpHead request, Socket socket, InputStream in, OutputStream out)
            throws IOException, InterruptedException {
        String uri = request.uri();
        if (uri.startsWith("/v1/servers")) {
            long holdMillis = queryParameter(uri, "hold_ms");
            long knownRevision = holdMillis == 0 ? NO_REVISION : queryParameter(uri, "from");
            writeText(out, discovery.watch(knownRevision, holdMillis), "");
            return true;
        }
        if (request.method().equals("GET")) {
            writePattern(out, uri.split("/"));
            return true;
        }
        String description =
                request.has("Transfer-Encoding")
                        ? BytePattern.readDescription(new ChunkedInputStream(in), Long.MAX_VALUE)
                        : BytePattern.readDescription(in, request.contentLength());
        return processPost(socket, out, description);
    }

    /** Returns the value of a numeric parameter in the query of a URI; 0 if it is missing. */
    private static long queryParameter(String uri, String name) {
        Matcher matcher = Pattern.compile("[?&]" + name + "=(\\d{1,18})").matcher(uri);
        return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
    }

    /**
     * Processes a {@code POST} in a slot, or rejects it if the queue is full.
     *
     * @return whether the connection stays open
     */
    private boolean processPost(Socket socket, OutputStream out, String description)
            throws IOException, InterruptedException {
        if (inFlight.incrementAndGet() > (long) service.slots() + service.queue()) {
            inFlight.decrementAndGet();
            write(out, "HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        slots.acquire();
        try {
            simulateProcessing();
        } finally {
            slots.release();
            inFlight.decrementAndGet();
        }
        return respondWith(faults.drawOutcome(), socket, out, description);
    }

    /** Waits for an exponentially distributed processing time. */
    private void simulateProcessing() {
        if (service.millis() > 0) {
            double exponential = -Math.log(1 - ThreadLocalRandom.current().nextDouble());
            double micros = MICROS_PER_MILLI * service.millis() * exponential;
            LockSupport.parkNanos((long) (NANOS_PER_MICRO * micros));
        }
    }

    /**
     * Sends the response to a {@code POST} with the given outcome.
     *
     * @return whether the connection stays open
     */
    private boolean respondWith(
            StandInFaults.Outcome outcome, Socket socket, OutputStream out, String description)
            throws IOException {
        switch (outcome) {
            case ERROR -> write(out, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n");
            case MALFORMED -> write(out, "\u0007noise\r\n\r\n");
            case UNANSWERED -> {
                socket.getInputStream().read(); // Blocks until the sidecar closes the connection.
                return false;
            }
            case RESET -> {
                socket.setSoLinger(true, 0); // Makes the close of the connection a reset.
                return false;
            }
            default -> {
                served.incrementAndGet();
                writeText(out, description, service.reportsLoad() ? loadReport() : "");
            }
        }
        return true;
    }

    /** Returns the header of a load report: used slots, throughput and mean processing time. */
    private String loadReport() {
        double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
        return String.format(
                Locale.ROOT,
                "Server-Load: TEXT cpu=%.3f, rps=%.1f, avg_ms=%.1f\r\n",
                Math.min(1, inFlight.get() / (double) service.slots()),
                served.get() / seconds,
                service.millis());
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static void writeText(OutputStream out, String text, String header) throws IOException {
        write(
                out,
                "HTTP/1.1 200 OK\r\n"
                        + header
                        + "Content-Length: "
                        + text.length()
                        + "\r\n\r\n"
                        + text);
    }

    /** Writes the response that a path describes, with the pause after the first bytes. */
    private static void writePattern(OutputStream out, String[] path) throws IOException {
        long length = Long.parseLong(path[2]);
        int seed = numericSegment(path, 3);
        long pauseMillis = numericSegment(path, 4);
        write(out, "HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n");
        long position = 0;
        if (pauseMillis > 0) {
            BytePattern.writePrefix(out, PREFIX_BYTES, seed);
            position = PREFIX_BYTES;
            DaemonThreads.sleep(pauseMillis);
        }
        BytePattern.write(out, position, length, seed);
    }

    /** Returns the number in a segment of a path; 0 if it is missing. */
    private static int numericSegment(String[] path, int index) {
        return path.length > index ? Integer.parseInt(path[index]) : 0;
    }
}
