package sagefall.load;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
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
 * A stand-in for a save server and for discovery, on loopback, to try and to measure a sidecar
 * with. {@code GET /CLASS/LENGTH/SEED/PAUSE_MS} is answered with so many bytes of a {@link
 * BytePattern}, any {@code POST} with the length and the CRC-32 of its body, and {@code
 * /v1/servers} with the endpoint list. A {@link StandInService} gives it slots that work takes time
 * in, and a report of its load; {@link StandInFaults} what a server can do wrong. It has a thread
 * for each connection.
 */
public final class StandInServer {

    private static final int BACKLOG = 1000;
    private static final int BUFFER_BYTES = 64 * 1024;
    private static final int FIRST_BYTES = 100;
    private static final double MICROS_PER_MILLI = 1000;
    private static final double NANOS_PER_MICRO = 1000;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long ANY_REVISION = -1;

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
    private ServerSocket listening;

    /**
     * Listens on a loopback port, and registers with discovery.
     *
     * @param port 0 for one that is free
     */
    public StandInServer(int port, String zone, StandInService service, StandInDiscovery discovery)
            throws IOException {
        this.discovery = discovery;
        this.zone = zone;
        this.service = service;
        slots = new Semaphore(service.slots(), true);
        listening = new ServerSocket(port, BACKLOG, InetAddress.getLoopbackAddress());
        this.port = listening.getLocalPort();
        id = "s-" + this.port;
        register(0);
        ServerSocket first = listening;
        DaemonThreads.start(() -> accept(first));
    }

    /** The port that it listens on. */
    public int port() {
        return port;
    }

    String zone() {
        return zone;
    }

    /** The faults that it has from now on. */
    public void faults(StandInFaults now) {
        faults = now;
    }

    private void register(long bootMillis) {
        discovery.put(id, port, zone, "in_service", bootMillis);
    }

    /**
     * Its process dies: it refuses connections, and open ones are reset. Discovery lists it until
     * {@link #deregister}.
     */
    synchronized void kill() throws IOException {
        listening.close();
        for (Socket socket : sockets) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    /** Listens at the same address, as a new process, and registers with discovery. */
    synchronized void restart() throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG);
        listening = socket;
        DaemonThreads.start(() -> accept(socket));
        register(System.currentTimeMillis());
    }

    /** Discovery lists it no more. */
    public void deregister() {
        discovery.remove(id);
    }

    private void accept(ServerSocket from) {
        try {
            while (true) {
                Socket socket = from.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                DaemonThreads.start(() -> serve(socket));
            }
        } catch (IOException e) {
            // It was killed, or the program ends.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream(), BUFFER_BYTES);
            OutputStream out = socket.getOutputStream();
            HttpHead request = HttpHead.read(in);
            boolean open = true;
            while (request != null && open) {
                open = answer(request, socket, in, out);
                if (open) {
                    out.flush();
                    request = HttpHead.read(in);
                }
            }
        } catch (IOException | RuntimeException e) {
            // The sidecar closed the connection, or requested what this server does not know.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            sockets.remove(socket);
        }
    }

    /** Answers a request; whether its connection goes on. */
    private boolean answer(HttpHead request, Socket socket, InputStream in, OutputStream out)
            throws IOException, InterruptedException {
        String uri = request.uri();
        if (uri.startsWith("/v1/servers")) {
            long hold = query(uri, "hold_ms");
            long from = hold == 0 ? ANY_REVISION : query(uri, "from");
            writeText(out, discovery.watch(from, hold), "");
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
        return work(socket, out, description);
    }

    private static long query(String uri, String name) {
        Matcher matcher = Pattern.compile("[?&]" + name + "=(\\d{1,18})").matcher(uri);
        return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
    }

    /** One request in a slot; whether its connection goes on. */
    private boolean work(Socket socket, OutputStream out, String description)
            throws IOException, InterruptedException {
        if (inFlight.incrementAndGet() > (long) service.slots() + service.queue()) {
            inFlight.decrementAndGet();
            write(out, "HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        slots.acquire();
        try {
            parkForWork();
        } finally {
            slots.release();
            inFlight.decrementAndGet();
        }
        return end(faults.drawOutcome(), socket, out, description);
    }

    private void parkForWork() {
        if (service.millis() > 0) {
            double draw = -Math.log(1 - ThreadLocalRandom.current().nextDouble());
            double micros = MICROS_PER_MILLI * service.millis() * draw;
            LockSupport.parkNanos((long) (NANOS_PER_MICRO * micros));
        }
    }

    private boolean end(
            StandInFaults.Outcome outcome, Socket socket, OutputStream out, String description)
            throws IOException {
        switch (outcome) {
            case ERROR -> write(out, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n");
            case MALFORMED -> write(out, "\u0007noise\r\n\r\n");
            case UNANSWERED -> {
                socket.getInputStream().read();
                return false;
            }
            case RESET -> {
                socket.setSoLinger(true, 0);
                return false;
            }
            default -> {
                served.incrementAndGet();
                writeText(out, description, service.reportsLoad() ? loadReport() : "");
            }
        }
        return true;
    }

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

    /** The bytes that a path names; with a pause behind the first of them. */
    private static void writePattern(OutputStream out, String[] path) throws IOException {
        long length = Long.parseLong(path[2]);
        int seed = number(path, 3);
        long pauseMillis = number(path, 4);
        write(out, "HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n");
        long at = 0;
        if (pauseMillis > 0) {
            BytePattern.writeBegin(out, FIRST_BYTES, seed);
            at = FIRST_BYTES;
            DaemonThreads.sleep(pauseMillis);
        }
        BytePattern.write(out, at, length, seed);
    }

    private static int number(String[] path, int place) {
        return path.length > place ? Integer.parseInt(path[place]) : 0;
    }
}
