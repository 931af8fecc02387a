package sagefall.proxy;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import sagefall.logging.LogEvent;

/**
 * A planned restart of a real sidecar while servers hang and clients write slowly. The process gets
 * SIGTERM, and SIGKILL at the earliest time that the protocol allows. Counts at the clients whether
 * each request has one final response in time, and at the servers whether a rejected request ran.
 */
final class ShutdownRound {

    /** When servers hang. */
    enum Hang {
        /** They stop responding 0.1 s before SIGTERM. */
        BEFORE_SIGNAL,
        /** They stop responding 0.5 s after SIGTERM. */
        AFTER_SIGNAL,
        /** They respond only in the last 0.1 s before the earliest time of SIGKILL. */
        UNTIL_LAST_MOMENT
    }

    /** What happens to the process beside the signal to shut down. */
    enum Disturbance {
        NONE,
        /** It is stopped for 0.15 s shortly before the end. */
        SUSPENDED,
        /** It runs for 30 ms of each 0.1 s. */
        PART_OF_A_CORE,
        /** It gets a second SIGTERM and SIGHUPs. */
        MORE_SIGNALS
    }

    /**
     * The parameters of a round.
     *
     * @param pureDeadlineMillis deadline of the idempotent class
     * @param effectDeadlineMillis deadline of the class with side effects
     * @param hangingServers number of servers that hang, of {@link #SERVERS}
     * @param keptConnections number of clients that send one quick request after another; without
     *     them the sidecar does not learn early which servers hang
     * @param burstMillis time after SIGTERM at which most of the slow requests come whole
     */
    record Plan(
            long seed,
            int pureDeadlineMillis,
            int effectDeadlineMillis,
            int clients,
            int hangingServers,
            int keptConnections,
            int burstMillis,
            Hang hang,
            Disturbance disturbance) {

        /** Draws a plan from the seed; the disturbances take turns. */
        static Plan draw(long seed) {
            Random random = new Random(seed);
            int[] deadlines = {1_500, 2_500, 4_000};
            List<Hang> hangs = List.of(Hang.values());
            int[] hanging = {1, 2, SERVERS};
            List<Disturbance> disturbances = List.of(Disturbance.values());
            return new Plan(
                    seed,
                    deadlines[random.nextInt(deadlines.length)],
                    deadlines[random.nextInt(deadlines.length)],
                    random.nextBoolean() ? 24 : 24 + random.nextInt(177),
                    hanging[random.nextInt(hanging.length)],
                    random.nextBoolean() ? KEPT_CONNECTIONS : 0,
                    700 + random.nextInt(1_500),
                    hangs.get(random.nextInt(hangs.size())),
                    disturbances.get((int) (seed % disturbances.size())));
        }

        private int longestDeadlineMillis() {
            return Math.min(3_000, Math.max(pureDeadlineMillis, effectDeadlineMillis));
        }

        /** Earliest time of SIGKILL after SIGTERM, as the protocol has it. */
        int killMillis() {
            return longestDeadlineMillis() + 700;
        }
    }

    /** The result: how requests ended, and the violations. */
    static final class Result {
        final Queue<String> violations = new ConcurrentLinkedQueue<>();
        final AtomicInteger served = new AtomicInteger();
        final AtomicInteger rejected = new AtomicInteger();
        final AtomicInteger failed = new AtomicInteger();
        final AtomicInteger notTaken = new AtomicInteger();

        /** Time from SIGTERM to the exit. */
        volatile long exitMillis = -1;

        /** What the process logged of its end. */
        String end = "";

        @Override
        public String toString() {
            return "served=%s rejected=%s failed=%s not_taken=%s exit_ms=%s violations=%s %s"
                    .formatted(served, rejected, failed, notTaken, exitMillis, violations, end);
        }
    }

    static final int SERVERS = 4;

    /** A response is lost if it is later than this after the client's time. */
    private static final int LATE_MILLIS = 500;

    /** Clients connect until 0.4 s after SIGTERM. */
    private static final int CONNECT_UNTIL_MILLIS = 400;

    private static final int KEPT_CONNECTIONS = 8;
    private static final long SUSPENSION_MILLIS = 150;

    private final Plan plan;
    private final SidecarProgram program;
    private final Result result = new Result();
    private final Set<String> received = ConcurrentHashMap.newKeySet();

    /** Time of SIGTERM; before the signal, the time for which it is planned. */
    private volatile long signalNanos = Long.MAX_VALUE;

    private ShutdownRound(Plan plan, SidecarProgram program) {
        this.plan = plan;
        this.program = program;
    }

    /** Runs a round and closes what it has opened. */
    static Result run(Plan plan, SocketTest test) throws Exception {
        List<ScriptedPeer> servers = new ArrayList<>();
        ShutdownRound[] round = new ShutdownRound[1];
        for (int i = 0; i < SERVERS; i++) {
            int index = i;
            servers.add(test.server(request -> round[0].serve(index, request)));
        }
        SidecarHarness harness =
                test.closeAfterTest(
                        new SidecarHarness(test.folder, servers.toArray(ScriptedPeer[]::new)));
        harness.withConfig("'deadline_us':3000000", deadline(plan.pureDeadlineMillis))
                .withConfig(
                        "'effect':'side_effect','aim_us':400000,"
                                + deadline(plan.pureDeadlineMillis),
                        "'effect':'side_effect','aim_us':400000,"
                                + deadline(plan.effectDeadlineMillis));
        SidecarProgram program =
                test.closeAfterTest(
                        new SidecarProgram(harness, SidecarProgram.memoryOptionsOfRunCommand()));
        round[0] = new ShutdownRound(plan, program);
        return round[0].run();
    }

    private static String deadline(int millis) {
        return "'deadline_us':" + millis + "000";
    }

    private Result run() throws Exception {
        program.start();
        TestClient first = program.connect();
        for (int i = 0; i < 100; i++) {
            first.search(plan.pureDeadlineMillis).readResponse();
        }
        first.close();
        List<Thread> threads = new ArrayList<>();
        long planned = System.nanoTime() + millis(700);
        signalNanos = planned;
        Random random = new Random(plan.seed);
        for (int i = 0; i < plan.clients; i++) {
            SlowRequest request = new SlowRequest(random);
            threads.add(start(() -> request.run(planned)));
        }
        for (int i = 0; i < plan.keptConnections; i++) {
            threads.add(start(new KeptConnection(random.nextLong())::run));
        }
        sleepUntil(0);
        program.terminate();
        signalNanos = System.nanoTime();
        program.onExit().thenRun(() -> result.exitMillis = millisSinceSignal());
        disturb();
        sleepUntil(plan.killMillis());
        OptionalInt exitCode = program.kill();
        if (exitCode.isEmpty()) {
            result.violations.add("SIGKILL found the process running");
        } else if (exitCode.getAsInt() != 0) {
            result.violations.add("exit code " + exitCode.getAsInt());
        }
        for (Thread thread : threads) {
            thread.join();
        }
        result.end = program.logged(LogEvent.SHUTDOWN_ENDED);
        return result;
    }

    private void disturb() throws Exception {
        switch (plan.disturbance) {
            case NONE -> {
                // The round has only the one signal.
            }
            case SUSPENDED -> {
                long earliest = plan.killMillis() - 500L;
                sleepUntil(earliest + new Random(plan.seed).nextInt(300));
                suspend(SUSPENSION_MILLIS);
            }
            case PART_OF_A_CORE -> {
                while (millisSinceSignal() < plan.killMillis() - 150 && isAlive()) {
                    suspend(70);
                    Thread.sleep(30);
                }
            }
            case MORE_SIGNALS -> {
                for (int at : new int[] {100, 700, plan.killMillis() - 400}) {
                    sleepUntil(at);
                    program.signalIfAlive("HUP", "TERM");
                }
            }
        }
    }

    private boolean isAlive() throws InterruptedException {
        return program.keepsRunningFor(0);
    }

    private void suspend(long durationMillis) throws Exception {
        program.signalIfAlive("STOP");
        Thread.sleep(durationMillis);
        program.signalIfAlive("CONT");
    }

    private static Thread start(Runnable task) {
        Thread thread = new Thread(task, "shutdown-round");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static long millis(long count) {
        return TimeUnit.MILLISECONDS.toNanos(count);
    }

    private long millisSinceSignal() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - signalNanos);
    }

    private void sleepUntil(long millisAfterSignal) throws InterruptedException {
        Thread.sleep(Math.max(0, millisAfterSignal - millisSinceSignal()));
    }

    /** Responds to a request, or hangs. */
    private void serve(int server, ReceivedRequest request) throws IOException {
        received.add(request.request().headers().get("Request-Id"));
        if (server >= plan.hangingServers || signalNanos == Long.MAX_VALUE) {
            request.respond("200 OK", "", "ok");
            return;
        }
        long at = millisSinceSignal();
        boolean hangs = at > (plan.hang == Hang.AFTER_SIGNAL ? 500 : -100);
        if (!hangs) {
            request.respond("200 OK", "", "ok");
        } else if (plan.hang == Hang.UNTIL_LAST_MOMENT) {
            try {
                sleepUntil(plan.killMillis() - 100L);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            request.respond("200 OK", "", "ok");
        }
    }

    /** A request with a connection of its own that its client writes in pieces. */
    private final class SlowRequest {
        private final boolean effect;
        private final int timeoutMillis;
        private final int connectMillis;
        private final int writeMillis;
        private final int pieces;
        private final String text;
        private final String id;

        SlowRequest(Random random) {
            effect = random.nextBoolean();
            int deadline = effect ? plan.effectDeadlineMillis : plan.pureDeadlineMillis;
            boolean inBurst = random.nextInt(10) > 0;
            int shortest = inBurst ? deadline / 2 : 200;
            timeoutMillis = shortest + random.nextInt(deadline - shortest);
            int drawnWriteMillis = 300 + random.nextInt(1_650);
            int latestWrite = plan.burstMillis - CONNECT_UNTIL_MILLIS;
            writeMillis = inBurst ? Math.max(latestWrite, drawnWriteMillis) : drawnWriteMillis;
            connectMillis =
                    inBurst
                            ? plan.burstMillis - writeMillis
                            : random.nextInt(900) - (900 - CONNECT_UNTIL_MILLIS);
            pieces = 2 + random.nextInt(30);
            String body = effect ? "x".repeat(1 + random.nextInt(2_000)) : "";
            text =
                    effect
                            ? TestClient.head("POST", "/book/k1", timeoutMillis, "", body.length())
                                    + body
                            : TestClient.head("GET", "/search/k1", timeoutMillis, "", 0);
            int at = text.indexOf("Request-Id: ") + "Request-Id: ".length();
            id = text.substring(at, text.indexOf('\r', at));
        }

        void run(long plannedSignal) {
            try {
                long wait = plannedSignal + millis(connectMillis) - System.nanoTime();
                Thread.sleep(Math.max(0, TimeUnit.NANOSECONDS.toMillis(wait)));
                try (Socket socket =
                        new Socket(program.address.getAddress(), program.address.getPort())) {
                    socket.setTcpNoDelay(true);
                    exchange(socket);
                }
            } catch (IOException e) {
                result.notTaken.incrementAndGet();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private void exchange(Socket socket) throws IOException, InterruptedException {
            byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
            boolean whole = write(socket, bytes);
            long wholeAt = System.nanoTime();
            socket.setSoTimeout(timeoutMillis + LATE_MILLIS);
            String failure = "no response";
            HttpMessages.Message response = null;
            try {
                response = HttpMessages.read(socket.getInputStream());
                if (response != null && socket.getInputStream().read() >= 0) {
                    result.violations.add(id + ": two responses");
                }
            } catch (IOException e) {
                failure = e.toString();
            }
            if (response != null) {
                count(response, wholeAt);
            } else if (whole) {
                String came = TimeUnit.NANOSECONDS.toMillis(wholeAt - signalNanos) + " ms";
                result.violations.add(id + ": " + failure + ", came " + came + " after SIGTERM");
            } else {
                result.violations.add(id + ": unfinished, and " + failure);
            }
        }

        /** Writes the request; returns false if the sidecar responded or closed before its end. */
        private boolean write(Socket socket, byte[] bytes) throws InterruptedException {
            for (int i = 0; i < pieces; i++) {
                int from = bytes.length * i / pieces;
                int to = bytes.length * (i + 1) / pieces;
                try {
                    if (socket.getInputStream().available() > 0) {
                        return false;
                    }
                    socket.getOutputStream().write(bytes, from, to - from);
                } catch (IOException e) {
                    return false;
                }
                if (i < pieces - 1) {
                    Thread.sleep(writeMillis / (pieces - 1));
                }
            }
            return true;
        }

        private void count(HttpMessages.Message response, long wholeAt) {
            switch (response.status()) {
                case 200 -> result.served.incrementAndGet();
                case 429, 503 -> {
                    result.rejected.incrementAndGet();
                    if (effect && received.contains(id)) {
                        result.violations.add(id + ": ran and was rejected");
                    }
                }
                default -> result.failed.incrementAndGet();
            }
            long lateMillis =
                    TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - wholeAt) - timeoutMillis;
            if (lateMillis > LATE_MILLIS) {
                result.violations.add(id + ": " + lateMillis + " ms late");
            }
        }
    }

    /** A client that sends one request after another on a connection that it keeps. */
    private final class KeptConnection {
        private final Random random;

        KeptConnection(long seed) {
            random = new Random(seed);
        }

        void run() {
            try (Socket socket =
                    new Socket(program.address.getAddress(), program.address.getPort())) {
                socket.setTcpNoDelay(true);
                boolean open = true;
                while (open) {
                    Thread.sleep(random.nextInt(120));
                    open = exchange(socket);
                }
            } catch (IOException e) {
                result.notTaken.incrementAndGet();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        /** Returns whether the connection is open after a request. */
        private boolean exchange(Socket socket) throws IOException {
            int timeout = 200 + random.nextInt(plan.pureDeadlineMillis - 200);
            socket.setSoTimeout(timeout + LATE_MILLIS);
            String head = TestClient.head("GET", "/search/k1", timeout, "", 0);
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            HttpMessages.Message response;
            try {
                response = HttpMessages.read(socket.getInputStream());
            } catch (java.net.SocketTimeoutException e) {
                result.violations.add("no response on a kept connection");
                return false;
            }
            if (response == null) {
                // The connection was closed between requests, before this one was read.
                result.notTaken.incrementAndGet();
                return false;
            }
            (response.status() == 200 ? result.served : result.rejected).incrementAndGet();
            return !"close".equalsIgnoreCase(response.headers().get("Connection"));
        }
    }
}
