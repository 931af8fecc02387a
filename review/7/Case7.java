import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some answers are spoilt: their Content-Length is smaller than their body. Breaks the rule if a
 * client gets a 200 that is whole by its framing and is not the answer made for its request.
 */
final class Case7 {
    private static final int SECONDS = 15;
    private static final double SHARE = 0.02;

    public static void main(String[] args) {
        Rig.main(args, Case7::run);
    }

    private static final class Spoiling extends SaveServer {
        Spoiling(Rig rig, String uid) throws IOException {
            super(rig, uid);
        }

        @Override
        void answer(Socket socket, BufferedInputStream in, Wire.Message request) throws Exception {
            Thread.sleep(serviceMillis);
            String id = request.field("Request-Id");
            String body = bodyFor(id, request.text());
            if (rig.trouble && ThreadLocalRandom.current().nextDouble() < SHARE) {
                rig.record("spoilt answer " + uid + " " + id);
                write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + (body.length() - 60) + "\r\n\r\n" + body);
            } else {
                write(socket, whole(body));
            }
        }
    }

    private static int run(Rig rig) throws Exception {
        Discovery discovery = new Discovery(rig);
        for (int i = 1; i <= 8; i++) {
            discovery.add("s-" + i, new Spoiling(rig, "s-" + i).port(), i <= 4 ? "zona-10" : "quetzaltenango");
        }
        int port = Rig.freePort();
        rig.start(port, discovery.port(), Rig.config(port, discovery.port(), discovery.whole(), "push", Rig.SAVE));
        if (!rig.awaitReady(port)) {
            return Rig.COULD_NOT_RUN;
        }
        AtomicInteger served = new AtomicInteger();
        AtomicInteger wrong = new AtomicInteger();
        AtomicInteger other = new AtomicInteger();
        Thread[] threads = new Thread[6];
        long until = System.nanoTime() + SECONDS * 1_000_000_000L;
        for (int i = 0; i < threads.length; i++) {
            Rig.Client client = rig.new Client(port);
            threads[i] = new Thread(
                    () -> {
                        try {
                            while (System.nanoTime() < until) {
                                String id = rig.newId();
                                String body = Rig.payload(200);
                                Wire.Message answer = client.ask(id, Rig.request(id, Rig.tenant(), 1300, body), 1300);
                                if (answer == null || answer.status() != 200) {
                                    other.incrementAndGet();
                                } else if (answer.text().equals(SaveServer.bodyFor(id, body))) {
                                    served.incrementAndGet();
                                } else {
                                    wrong.incrementAndGet();
                                    rig.say("WRONG " + id + " got " + answer.body.length + " bytes of "
                                            + SaveServer.bodyFor(id, body).length());
                                }
                                Thread.sleep(60);
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
        rig.say("served=" + served + " wrong=" + wrong + " refused, failed or unanswered=" + other);
        return wrong.get() > 0 ? Rig.BROKEN : served.get() > 0 ? Rig.HELD : Rig.COULD_NOT_RUN;
    }
}
