import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients stop in the middle of a request of 64 KiB and stay. Are the requests of the usual clients
 * still answered?
 */
final class HalfRequests {

    /** Clients that stop; with the usual ones fewer than a third of the 1,024 descriptors. */
    private static final int STOPPING_CLIENTS = 240;

    /** Stated length of their bodies, 64 KiB at most, and the part that they send. */
    private static final int STATED_BYTES = 65_000;

    private static final int SENT_BYTES = 64_000;

    private static final int USUAL_REQUESTS = 400;
    private static final long USUAL_INTERVAL_MILLIS = 50;
    private static final long STOP_AT_MILLIS = 4_000;
    private static final long TIMEOUT_MILLIS = 1_300;

    /** Half a second after its time a request is lost; every limit is 50 ms longer on sockets. */
    private static final long LOST_MILLIS = TIMEOUT_MILLIS + 500 + 50;

    private static final String CLASS =
            "{\"name\":\"save\",\"effect\":\"token\",\"group\":\"zone\",\"dedup_window_us\":2500000,"
                    + "\"streaming\":false,\"aim_us\":1200000,\"deadline_us\":2500000,\"worth\":1,"
                    + "\"late_value\":0}";

    /** The clients that stop; filled by one thread, read after it has ended its work. */
    private static final List<Review.Client> STOPPING = new CopyOnWriteArrayList<>();

    private HalfRequests() {}

    public static void main(String[] arguments) throws IOException {
        Review.main(arguments, HalfRequests::run);
    }

    /** A save server that answers after 60 ms. */
    private static final class SaveServer extends Review.Listener {
        private final Review.Record record;

        SaveServer(Review.Record record) throws IOException {
            this.record = record;
            listen("server");
        }

        @Override
        boolean serve(Review.Message request, Socket socket) throws IOException {
            record.line("server %d runs %s", port, request.header("Request-Id"));
            Review.sleep(60);
            byte[] body = ("saved " + request.header("Request-Id")).getBytes(StandardCharsets.UTF_8);
            answer(socket, "200 OK", "", body);
            return true;
        }
    }

    private static int run(Path root, Review.Record record, Review.Folder folder)
            throws Exception {
        Review.Agent agent = new Review.Agent();
        for (int i = 0; i < 8; i++) {
            SaveServer server = new SaveServer(record);
            agent.put(
                    new Review.Target(
                            "s-" + i, server.port, i % 2 == 0 ? "a" : "b", "in_service", 0));
        }
        int port = Review.freePort();
        Path config =
                folder.write("config.json", Review.configuration(CLASS, port, agent.port));
        try (Review.Sidecar sidecar =
                new Review.Sidecar(
                        root,
                        record,
                        "n1",
                        port,
                        agent.port,
                        config,
                        null,
                        folder.path.resolve("log"))) {
            if (!sidecar.awaitReady()) {
                return Review.NOT_RUN;
            }
            AtomicInteger lost = new AtomicInteger();
            AtomicInteger served = new AtomicInteger();
            AtomicInteger notTaken = new AtomicInteger();
            List<Thread> usual = new ArrayList<>();
            long start = record.millis();
            boolean stopped = !Review.trouble();
            for (int i = 0; i < USUAL_REQUESTS; i++) {
                if (!stopped && record.millis() - start >= STOP_AT_MILLIS) {
                    stopped = true;
                    Review.start("stopping", () -> stopInTheMiddle(port, record));
                }
                String id = "%016x".formatted(0x5a9e0000L + i);
                usual.add(
                        Review.start(
                                "usual",
                                () -> callOnce(port, id, record, served, lost, notTaken)));
                Review.sleep(USUAL_INTERVAL_MILLIS);
            }
            for (Thread thread : usual) {
                thread.join();
            }
            Review.Answer health =
                    Review.Client.once(
                            port, "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n", null, 2_000);
            record.line("at the end /healthz: %s", health);
            record.line(
                    "clients that stopped: %d, of these with an error or a close: %d",
                    STOPPING.size(), countEnded());
            record.say(
                    "usual requests: %d, served: %d, taken and not answered in time: %d, not taken: %d, crashed: %s",
                    USUAL_REQUESTS, served.get(), lost.get(), notTaken.get(), sidecar.hasCrashed());
            return lost.get() > 0 || sidecar.hasCrashed() ? Review.BROKEN : Review.HELD;
        }
    }

    private static void callOnce(
            int port,
            String id,
            Review.Record record,
            AtomicInteger served,
            AtomicInteger lost,
            AtomicInteger notTaken) {
        byte[] body = "a small game".getBytes(StandardCharsets.UTF_8);
        String head =
                Review.head("POST", "/save/" + id, id, TIMEOUT_MILLIS)
                        + "Content-Length: "
                        + body.length
                        + "\r\n\r\n";
        Review.Answer answer = Review.Client.once(port, head, body, LOST_MILLIS);
        if (!answer.written) {
            notTaken.incrementAndGet();
        } else if (!answer.whole || answer.millis > LOST_MILLIS) {
            lost.incrementAndGet();
        } else if (answer.status == 200) {
            served.incrementAndGet();
        }
        record.line("client of %s got %s", id, answer);
    }

    /** Returns how many of the clients that stop have been sent an answer or the end. */
    private static int countEnded() {
        int ended = 0;
        for (Review.Client client : STOPPING) {
            try {
                client.socket().setSoTimeout(1);
                client.socket().getInputStream().read();
                ended++;
            } catch (SocketTimeoutException e) {
                // Nothing has come.
            } catch (IOException e) {
                ended++;
            }
        }
        return ended;
    }

    /** Sends most of a request on each of many connections, and leaves them open. */
    private static void stopInTheMiddle(int port, Review.Record record) {
        try {
            for (int i = 0; i < STOPPING_CLIENTS; i++) {
                String id = "%016x".formatted(0xbad00000L + i);
                Review.Client client = new Review.Client(port);
                STOPPING.add(client);
                OutputStream out = client.socket().getOutputStream();
                String head =
                        Review.head("POST", "/save/" + id, id, TIMEOUT_MILLIS)
                                + "Content-Length: "
                                + STATED_BYTES
                                + "\r\n\r\n";
                out.write(head.getBytes(StandardCharsets.ISO_8859_1));
                out.write(new byte[SENT_BYTES]);
            }
        } catch (IOException e) {
            record.line("a client that stops could not send: %s", e);
        }
        record.line(
                "%d clients have sent %d bytes of a body of %d, and stay",
                STOPPING.size(), SENT_BYTES, STATED_BYTES);
    }
}
