package sagefall.load;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.zip.CRC32;

/**
 * A stand-in for a save server and for discovery, on loopback, to try and to measure a sidecar
 * with. {@code GET /CLASS/LENGTH/SEED/PAUSE_MS} is answered with so many bytes of a pattern, any
 * {@code POST} with the length and the CRC-32 of its body, and {@code /v1/servers} with the
 * directory. A {@link Service} gives it slots that work takes time in, and a report of its load;
 * {@link Faults} what a socket can do wrong.
 */
public final class StandInServer {

    /**
     * How it works on a {@code POST}.
     *
     * @param slots requests in work at a time
     * @param queue how many may wait; what comes beyond is turned away unseen
     * @param millis mean time of one, exponentially spread; 0: at once
     */
    public record Service(int slots, int queue, double millis) {
        /** At once, without a report. */
        static final Service NONE = new Service(Integer.MAX_VALUE, Integer.MAX_VALUE, 0);
    }

    /** Parts of the {@code POST}s that end as an error, with silence, by a reset, or with noise. */
    public record Faults(double errors, double silences, double resets, double noises) {
        /** None. */
        public static final Faults NONE = new Faults(0, 0, 0, 0);
    }

    private static final int MIB = 1024 * 1024;
    private static final byte[] PATTERN = new byte[MIB];

    static {
        new Random(5).nextBytes(PATTERN);
    }

    private final StandInDiscovery directory;
    private final String id;
    private final String zone;
    private final int port;
    private final Service service;
    private final Semaphore slots;
    private final AtomicInteger held = new AtomicInteger();
    private final AtomicLong served = new AtomicLong();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final long madeAt = System.nanoTime();
    private volatile Faults faults = Faults.NONE;
    private ServerSocket listening;

    /** On a loopback port, 0 for one that is free; it enters itself into the directory. */
    public StandInServer(int port, String zone, Service service, StandInDiscovery directory)
            throws IOException {
        this.directory = directory;
        this.zone = zone;
        this.service = service;
        slots = new Semaphore(service.slots, true);
        listening = new ServerSocket(port, 1000, InetAddress.getLoopbackAddress());
        this.port = listening.getLocalPort();
        id = "s-" + this.port;
        enter(0);
        daemon(() -> accept(listening));
    }

    int port() {
        return port;
    }

    String zone() {
        return zone;
    }

    /** What goes wrong from now on. */
    void faults(Faults now) {
        faults = now;
    }

    private void enter(long bootMillis) {
        directory.put(id, port, zone, "in_service", bootMillis);
    }

    /**
     * The process dies: it refuses, its connections are reset; discovery notices when it is told
     * to.
     */
    synchronized void kill() throws IOException {
        listening.close();
        for (Socket socket : sockets) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    /** It is back at the same address, as a new process, and discovery knows. */
    synchronized void restart() throws IOException {
        ServerSocket again = new ServerSocket();
        again.setReuseAddress(true);
        again.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1000);
        listening = again;
        daemon(() -> accept(again));
        enter(System.currentTimeMillis());
    }

    /** Discovery has noticed that it is gone. */
    void leave() {
        directory.remove(id);
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(null, task, "load", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void accept(ServerSocket from) {
        try {
            while (true) {
                Socket socket = from.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                daemon(() -> serve(socket));
            }
        } catch (IOException e) {
            // It was killed, or the program is over.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 64 * 1024);
            OutputStream out = socket.getOutputStream();
            for (Map<String, String> head; (head = head(in)) != null; ) {
                String[] first = head.get("").split(" ", 0);
                String[] path = first[1].split("/");
                if (first[1].startsWith("/v1/servers")) {
                    long hold = query(first[1], "hold_ms");
                    text(out, directory.watch(hold == 0 ? -1 : query(first[1], "from"), hold), "");
                } else if (first[0].equals("GET")) {
                    answer(out, Long.parseLong(path[2]), number(path, 3), number(path, 4));
                } else {
                    boolean chunked = head.containsKey("Transfer-Encoding");
                    String sum =
                            chunked
                                    ? sum(new Chunks(in), Long.MAX_VALUE)
                                    : sum(
                                            in,
                                            Long.parseLong(
                                                    head.getOrDefault("Content-Length", "0")));
                    if (!work(socket, out, sum)) {
                        return;
                    }
                }
                out.flush();
            }
        } catch (IOException | RuntimeException e) {
            // The sidecar hung up, or asked for what this server does not know.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            sockets.remove(socket);
        }
    }

    private static long query(String uri, String name) {
        Matcher m = Pattern.compile("[?&]" + name + "=(\\d{1,18})").matcher(uri);
        return m.find() ? Long.parseLong(m.group(1)) : 0;
    }

    /** One request in a slot; whether its connection may go on. */
    // NONE is told by identity: a service with the same figures does report.
    @SuppressWarnings("ReferenceEquality")
    private boolean work(Socket socket, OutputStream out, String sum)
            throws IOException, InterruptedException {
        if (held.incrementAndGet() > (long) service.slots + service.queue) {
            held.decrementAndGet();
            out.write(
                    "HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            return true;
        }
        slots.acquire();
        try {
            if (service.millis > 0) {
                double micros =
                        -1000
                                * service.millis
                                * Math.log(1 - ThreadLocalRandom.current().nextDouble());
                LockSupport.parkNanos((long) (1000 * micros));
            }
        } finally {
            slots.release();
            held.decrementAndGet();
        }
        double luck = ThreadLocalRandom.current().nextDouble();
        Faults now = faults;
        if ((luck -= now.errors) < 0) {
            out.write(
                    "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
        } else if ((luck -= now.silences) < 0) {
            socket.getInputStream().read();
            return false;
        } else if ((luck -= now.resets) < 0) {
            socket.setSoLinger(true, 0);
            return false;
        } else if (luck - now.noises < 0) {
            out.write("\u0007noise\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        } else {
            served.incrementAndGet();
            text(out, sum, service == Service.NONE ? "" : report());
        }
        return true;
    }

    private String report() {
        double seconds = (System.nanoTime() - madeAt) / 1e9;
        return String.format(
                Locale.ROOT,
                "Server-Load: TEXT cpu=%.3f, rps=%.1f, avg_ms=%.1f\r\n",
                Math.min(1, held.get() / (double) service.slots),
                served.get() / seconds,
                service.millis);
    }

    private static int number(String[] path, int place) {
        return path.length > place ? Integer.parseInt(path[place]) : 0;
    }

    private static void text(OutputStream out, String text, String header) throws IOException {
        out.write(
                ("HTTP/1.1 200 OK\r\n"
                                + header
                                + "Content-Length: "
                                + text.length()
                                + "\r\n\r\n"
                                + text)
                        .getBytes(StandardCharsets.US_ASCII));
    }

    /** So many bytes of the pattern; with a pause behind the first of them. */
    private static void answer(OutputStream out, long length, int seed, long pauseMillis)
            throws IOException {
        out.write(
                ("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
        long at = 0;
        if (pauseMillis > 0) {
            out.write(PATTERN, seed % MIB, 100);
            at = 100;
            sleep(pauseMillis);
        }
        body(out, at, length, seed);
    }

    static void body(OutputStream out, long from, long length, int seed) throws IOException {
        for (long at = from; at < length; ) {
            int start = (int) ((at + seed) % MIB);
            int part = (int) Math.min(Math.min(64 * 1024, MIB - start), length - at);
            out.write(PATTERN, start, part);
            at += part;
        }
    }

    static long expected(long length, int seed) {
        CRC32 sum = new CRC32();
        for (long at = 0; at < length; ) {
            int start = (int) ((at + seed) % MIB);
            int part = (int) Math.min(MIB - start, length - at);
            sum.update(PATTERN, start, part);
            at += part;
        }
        return sum.getValue();
    }

    /** Reads so many bytes, if wanted with a rest after each 256 KiB. */
    static long checksum(InputStream in, long length, long restMillis) throws IOException {
        byte[] buffer = new byte[64 * 1024];
        CRC32 sum = new CRC32();
        long rested = 0;
        for (long at = 0; at < length; ) {
            int count = in.read(buffer, 0, (int) Math.min(buffer.length, length - at));
            if (count < 0) {
                throw new IOException("ended after " + at + " of " + length);
            }
            sum.update(buffer, 0, count);
            at += count;
            if (restMillis > 0 && at - rested > 256 * 1024) {
                rested = at;
                sleep(restMillis);
            }
        }
        return sum.getValue();
    }

    /** The length and the CRC-32 of a body, as a line of text. */
    private static String sum(InputStream in, long most) throws IOException {
        byte[] buffer = new byte[64 * 1024];
        CRC32 sum = new CRC32();
        long at = 0;
        int count = 0;
        while (at < most && count >= 0) {
            count = in.read(buffer, 0, (int) Math.min(buffer.length, most - at));
            sum.update(buffer, 0, Math.max(0, count));
            at += Math.max(0, count);
        }
        if (most != Long.MAX_VALUE && at < most) {
            throw new IOException("ended after " + at + " of " + most);
        }
        return at + " " + Long.toHexString(sum.getValue()) + "\n";
    }

    static Map<String, String> head(InputStream in) throws IOException {
        Map<String, String> head = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line; (line = line(in)) != null; ) {
            if (line.isEmpty()) {
                return head;
            }
            int colon = line.indexOf(':');
            head.put(
                    head.isEmpty() ? "" : line.substring(0, colon),
                    head.isEmpty() ? line : line.substring(colon + 1).trim());
        }
        return null;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c; (c = in.read()) != '\n'; ) {
            if (c < 0) {
                return null;
            }
            if (c != '\r') {
                line.write(c);
            }
        }
        return line.toString(StandardCharsets.US_ASCII);
    }

    /** A body in chunks, up to and with its trailers. */
    private static final class Chunks extends FilterInputStream {
        private long left;
        private boolean begun;
        private boolean ended;

        Chunks(InputStream in) {
            super(in);
        }

        @Override
        public int read() throws IOException {
            byte[] one = new byte[1];
            return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
        }

        @Override
        public int read(byte[] into, int from, int most) throws IOException {
            if (left == 0 && !ended) {
                if (begun) {
                    line(in);
                }
                begun = true;
                left = Long.parseLong(String.valueOf(line(in)), 16);
                ended = left == 0;
                for (String trailer = "x"; ended && trailer != null && !trailer.isEmpty(); ) {
                    trailer = line(in);
                }
            }
            int count = ended ? -1 : in.read(into, from, (int) Math.min(most, left));
            if (count < 0 && !ended) {
                throw new IOException("ended within a chunk");
            }
            left -= Math.max(0, count);
            return count;
        }
    }
}
