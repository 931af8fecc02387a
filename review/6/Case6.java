import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A second answer that comes 15 ms after the first, from save servers of the other data centre (10
 * to 20 ms one way). Breaks the rule if a client gets a 200 with a body that was
 * not made for its request.
 */
final class Case6 {
    private static final int SECONDS = 75;
    private static final int REQUESTS_PER_SECOND = 250;
    private static final int SECOND_ANSWER_AFTER_MILLIS = 15;
    private static final double SHARE = 0.05;
    private static final double LEAST_ONE_WAY_MILLIS = 10;
    private static final double MOST_ONE_WAY_MILLIS = 20;

    public static void main(String[] args) {
        Rig.main(args, Case6::run);
    }

    /** Sends a second copy of some answers, if nothing else has come on the connection by then. */
    private static final class Doubling extends SaveServer {
        Doubling(Rig rig, String uid) throws IOException {
            super(rig, uid);
        }

        @Override
        void answer(Socket socket, BufferedInputStream in, Wire.Message request) throws Exception {
            Thread.sleep(serviceMillis);
            String id = request.field("Request-Id");
            String text = whole(bodyFor(id, request.text()));
            write(socket, text);
            if (rig.trouble && ThreadLocalRandom.current().nextDouble() < SHARE) {
                Thread.sleep(SECOND_ANSWER_AFTER_MILLIS);
                if (in.available() == 0) {
                    write(socket, text);
                    rig.record("second answer " + uid + " " + id);
                }
            }
        }
    }

    /** The network between two data centres: each piece is late by the one-way time, and none overtakes. */
    private static final class Line {
        private final Rig rig;
        private final ServerSocket listening;
        private final int target;

        Line(Rig rig, int target) throws IOException {
            this.rig = rig;
            this.target = target;
            listening = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
            rig.thread(
                    () -> {
                        while (true) {
                            Socket near = listening.accept();
                            near.setTcpNoDelay(true);
                            Socket far = Rig.connect(target);
                            rig.thread(() -> carry(near, far));
                            rig.thread(() -> carry(far, near));
                        }
                    });
        }

        int port() {
            return listening.getLocalPort();
        }

        private record Piece(byte[] bytes, long dueNanos) {}

        private void carry(Socket from, Socket to) throws IOException {
            BlockingQueue<Piece> pieces = new LinkedBlockingQueue<>();
            rig.thread(() -> deliver(pieces, to));
            byte[] buffer = new byte[65536];
            try {
                for (int n = from.getInputStream().read(buffer); n >= 0; n = from.getInputStream().read(buffer)) {
                    double late = ThreadLocalRandom.current().nextDouble(LEAST_ONE_WAY_MILLIS, MOST_ONE_WAY_MILLIS);
                    byte[] bytes = java.util.Arrays.copyOf(buffer, n);
                    pieces.add(new Piece(bytes, System.nanoTime() + (long) (late * 1e6)));
                }
            } catch (IOException e) {
                // Reset; passed on as an end.
            }
            pieces.add(new Piece(new byte[0], System.nanoTime() + (long) (MOST_ONE_WAY_MILLIS * 1e6)));
        }

        private static void deliver(BlockingQueue<Piece> pieces, Socket to) throws Exception {
            try (to) {
                OutputStream out = to.getOutputStream();
                for (Piece piece = pieces.take(); piece.bytes.length > 0; piece = pieces.take()) {
                    long wait = piece.dueNanos - System.nanoTime();
                    if (wait > 0) {
                        Thread.sleep(wait / 1_000_000, (int) (wait % 1_000_000));
                    }
                    out.write(piece.bytes);
                }
            } catch (IOException e) {
                // The other end has closed.
            }
        }
    }

    private static int run(Rig rig) throws Exception {
        Discovery discovery = new Discovery(rig);
        for (int i = 1; i <= 4; i++) {
            SaveServer server = new Doubling(rig, "s-" + i);
            discovery.add("s-" + i, new Line(rig, server.port()).port(), "quetzaltenango");
        }
        int port = Rig.freePort();
        rig.start(port, discovery.port(), Rig.config(port, discovery.port(), discovery.whole(), "push", Rig.SAVE));
        if (!rig.awaitReady(port)) {
            return Rig.COULD_NOT_RUN;
        }
        AtomicInteger served = new AtomicInteger();
        AtomicInteger foreign = new AtomicInteger();
        AtomicInteger other = new AtomicInteger();
        int clients = 20;
        Thread[] threads = new Thread[clients];
        long until = System.nanoTime() + SECONDS * 1_000_000_000L;
        for (int i = 0; i < clients; i++) {
            Rig.Client client = rig.new Client(port);
            threads[i] = new Thread(
                    () -> {
                        try {
                            while (System.nanoTime() < until) {
                                long next = System.nanoTime()
                                        + (long) (-Math.log(1 - ThreadLocalRandom.current().nextDouble())
                                                * 1e9 * clients / REQUESTS_PER_SECOND);
                                String id = rig.newId();
                                String body = Rig.payload(100);
                                Wire.Message answer = client.ask(id, Rig.request(id, Rig.tenant(), 1300, body), 1300);
                                if (answer == null || answer.status() != 200) {
                                    other.incrementAndGet();
                                } else if (answer.text().equals(SaveServer.bodyFor(id, body))) {
                                    served.incrementAndGet();
                                } else {
                                    foreign.incrementAndGet();
                                    rig.say("FOREIGN " + id + " got " + answer.text());
                                }
                                Thread.sleep(Math.max(0, (next - System.nanoTime()) / 1_000_000));
                            }
                        } catch (Exception e) {
                            rig.record("client ended: " + e);
                        }
                    });
            threads[i].start();
        }
        for (Thread thread : threads) {
            thread.join();
        }
        rig.recordLog();
        rig.say("served=" + served + " foreign=" + foreign + " refused, failed or unanswered=" + other);
        return foreign.get() > 0 ? Rig.BROKEN : served.get() > 0 ? Rig.HELD : Rig.COULD_NOT_RUN;
    }
}
