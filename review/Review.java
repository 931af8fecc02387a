import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.io.PushbackInputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * What the cases of the review share: a record, a sidecar process, an agent of discovery, save
 * servers and clients. All of them use loopback addresses, and the real clock.
 */
final class Review {

    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    /** Processes that this case has started; none of them outlives it. */
    private static final Set<Process> STARTED = ConcurrentHashMap.newKeySet();

    private Review() {}

    /**
     * Returns a configuration like that of a small deployment.
     *
     * @param requestClass the one class of requests, as JSON
     * @param discoveryPort port of the agent
     */
    static String configuration(String requestClass, int port, int discoveryPort) {
        return """
            {"name":"n1","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"8c1f30d27a5be964",
             "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
             "settings":{
              "classes":[%s],
              "tenants":[{"name":"aula-digital","quota_per_s":50.0,"share":0.5},
                         {"name":"lee-y-juega","quota_per_s":50.0,"share":0.5}],
              "zones":["a","b"],"models":["m"],"zone":0,"rank":0,"replicas_of_me":2,"discovery":"push",
              "policy_limits":{"attempts_cap":5,"cancelling":true,"max_retry_after_us":2000000,
               "conn_idle_us":5000000,"connect_timeout_us":250000,"second_copies":true,
               "streams_per_conn":1},
              "report":{"source":"none"},
              "rules":{"ask_every_us":10000000,"drain_grace_us":500000,"cold_from":0.3,
               "cold_us":8800000,"fall_multiple":3.0,"fall_us":1000000,"grace_to_answer_us":20000},
              "tick_us":5000}}
            """
                .formatted(port, discoveryPort, requestClass);
    }

    /** Returns the head of a request, without its last empty line. */
    static String head(String method, String path, String id, long timeoutMillis) {
        String key = method.equals("POST") ? "Idempotency-Key: key-" + id + "\r\n" : "";
        return method
                + " "
                + path
                + " HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: "
                + id
                + "\r\nTenant: aula-digital\r\nRequest-Timeout-Ms: "
                + timeoutMillis
                + "\r\n"
                + key;
    }

    /** Returns whether the disruption is played; {@code TROUBLE=0} leaves it out. */
    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    static InetAddress loopback() {
        return InetAddress.getLoopbackAddress();
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, loopback())) {
            return socket.getLocalPort();
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread start(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void closeQuietly(Closeable closeable) {
        try {
            closeable.close();
        } catch (IOException e) {
            // Nothing depends on how a socket is closed here.
        }
    }

    /** The record of a case: one line for each thing that was sent, answered or run. */
    static final class Record implements Closeable {
        private final PrintWriter out;
        private final long startNanos = System.nanoTime();

        Record(Path file) throws IOException {
            out = new PrintWriter(Files.newBufferedWriter(file), false);
        }

        long millis() {
            return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        }

        synchronized void line(String format, Object... values) {
            out.println(
                    String.format(Locale.ROOT, "%7d ", millis())
                            + String.format(Locale.ROOT, format, values));
            out.flush();
        }

        /** Writes a line that is also printed. */
        void say(String format, Object... values) {
            line(format, values);
            System.out.println(String.format(Locale.ROOT, format, values));
        }

        @Override
        public void close() {
            out.close();
        }
    }

    /** A sidecar, started by the line {@code run} of the deploy file. */
    static final class Sidecar implements Closeable {
        final int port;
        private final Process process;
        private final Record record;
        private final String name;
        private final Path log;
        private volatile boolean endRequested;

        Sidecar(
                Path root,
                Record record,
                String name,
                int port,
                int discoveryPort,
                Path config,
                Path extensions,
                Path log)
                throws IOException {
            this.port = port;
            this.record = record;
            this.name = name;
            this.log = log;
            List<String> command = new ArrayList<>();
            if (ignoresHangup()) {
                // A process that was started to ignore SIGHUP, as by nohup, would hand that on.
                command.addAll(List.of("env", "--default-signal=HUP"));
            }
            command.addAll(List.of("/bin/sh", "-c", runLine(root)));
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.directory(root.toFile());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            Map<String, String> environment = builder.environment();
            environment.keySet().removeIf(key -> key.startsWith("LB_"));
            environment.put("LB_NAME", name);
            environment.put("LB_LISTEN", "127.0.0.1:" + port);
            environment.put("LB_DISCOVERY", "127.0.0.1:" + discoveryPort);
            environment.put("LB_CONFIG", config.toString());
            if (extensions != null) {
                environment.put("LB_EXTENSIONS", extensions.toString());
            }
            process = builder.start();
            STARTED.add(process);
            record.line("sidecar %s started, pid %d", name, process.pid());
        }

        private static boolean ignoresHangup() throws IOException {
            for (String line : Files.readAllLines(Path.of("/proc/self/status"))) {
                if (line.startsWith("SigIgn:")) {
                    return (Long.parseUnsignedLong(line.substring(7).trim(), 16) & 1) != 0;
                }
            }
            return false;
        }

        private static String runLine(Path root) throws IOException {
            for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
                if (line.startsWith("run = \"")) {
                    return line.substring("run = \"".length(), line.lastIndexOf('"'));
                }
            }
            throw new IOException("deploy/balancer.toml has no line 'run'");
        }

        /** Waits until {@code /healthz} is answered with 200, for at most 30 s. */
        boolean awaitReady() {
            for (int i = 0; i < 300 && process.isAlive(); i++) {
                Answer answer =
                        Client.once(port, "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n", null, 1_000);
                if (answer.status == 200) {
                    record.line("sidecar %s is ready", name);
                    return true;
                }
                sleep(100);
            }
            return false;
        }

        void signal(String signal) throws IOException {
            if (!signal.equals("HUP") && !signal.equals("STOP") && !signal.equals("CONT")) {
                endRequested = true;
            }
            record.line("SIG%s to sidecar %s", signal, name);
            try {
                new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid()))
                        .inheritIO()
                        .start()
                        .waitFor();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }

        boolean isAlive() {
            return process.isAlive();
        }

        /** Returns whether the process has ended although nothing asked it to. */
        boolean hasCrashed() {
            return !process.isAlive() && !endRequested;
        }

        boolean awaitExit(long millis) {
            try {
                return process.waitFor(millis, TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }

        /** Ends the process, and copies its log to the record. */
        @Override
        public void close() throws IOException {
            if (process.isAlive()) {
                signal("KILL");
            }
            awaitExit(5_000);
            for (String line : Files.readAllLines(log)) {
                record.line("log of the sidecar: %s", line);
            }
        }
    }

    /** An HTTP message as it was read. */
    static final class Message {
        String first;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        String method() {
            return first.split(" ")[0];
        }

        String path() {
            return first.split(" ")[1];
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                line.write(next);
            }
            next = in.read();
        }
        if (next < 0) {
            throw new EOFException("end of the input within a line");
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads the head of a message. */
    static Message readHead(InputStream in) throws IOException {
        Message message = new Message();
        message.first = readLine(in);
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
        return message;
    }

    /** Reads a body of a stated length, or in chunks; fails if the input ends before it does. */
    static byte[] readBody(InputStream in, Message message) throws IOException {
        if (message.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                int length = Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
                body.write(readExactly(in, length));
                readLine(in);
                if (length == 0) {
                    return body.toByteArray();
                }
            }
        }
        String length = message.header("Content-Length");
        return length.isEmpty() ? new byte[0] : readExactly(in, Integer.parseInt(length));
    }

    private static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the body ended after " + bytes.length + " of " + length);
        }
        return bytes;
    }

    /** What a client got. */
    static final class Answer {
        /** The status; 0 if there was no head. */
        int status;

        /** Whether the answer came whole. */
        boolean whole;

        byte[] body = new byte[0];

        /** Whether the connection was made. */
        boolean connected;

        /** Whether the last byte of the request was written. */
        boolean written;

        /** Milliseconds from the last byte of the request to the end of the answer. */
        long millis;

        /** How it ended if it did not end with a whole answer. */
        String end = "";

        @Override
        public String toString() {
            return (whole ? "status " + status : "no whole answer, status " + status + ", " + end)
                    + ", "
                    + body.length
                    + " bytes of body after "
                    + millis
                    + " ms";
        }
    }

    /** A client's connection to a sidecar. */
    static final class Client implements Closeable {
        private final Socket socket = new Socket();
        private InputStream in;

        Client(int port) throws IOException {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(loopback(), port), 2_000);
            in = new java.io.BufferedInputStream(socket.getInputStream());
        }

        Socket socket() {
            return socket;
        }

        /** Sends a request and reads its answer; waits for it for the given time. */
        Answer call(String head, byte[] body, long timeoutMillis) {
            Answer answer = new Answer();
            answer.connected = true;
            long start = System.nanoTime();
            try {
                OutputStream out = socket.getOutputStream();
                byte[] text = head.getBytes(StandardCharsets.ISO_8859_1);
                if (body == null) {
                    out.write(text);
                } else {
                    ByteArrayOutputStream all = new ByteArrayOutputStream();
                    all.write(text);
                    all.write(body);
                    out.write(all.toByteArray());
                }
                answer.written = true;
                start = System.nanoTime();
                socket.setSoTimeout((int) timeoutMillis);
                Message message = readHead(in);
                answer.status = Integer.parseInt(message.first.split(" ")[1]);
                readBodyInto(answer, message);
                answer.whole = true;
            } catch (SocketTimeoutException e) {
                answer.end = "no answer in time";
            } catch (IOException e) {
                answer.end = String.valueOf(e.getMessage());
            }
            answer.millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
            return answer;
        }

        /** Keeps what came of a body that is not whole. */
        private void readBodyInto(Answer answer, Message message) throws IOException {
            ByteArrayOutputStream seen = new ByteArrayOutputStream();
            InputStream counted =
                    new java.io.FilterInputStream(in) {
                        @Override
                        public int read() throws IOException {
                            int next = super.read();
                            if (next >= 0) {
                                seen.write(next);
                            }
                            return next;
                        }

                        @Override
                        public int read(byte[] into, int from, int length) throws IOException {
                            int count = super.read(into, from, length);
                            if (count > 0) {
                                seen.write(into, from, count);
                            }
                            return count;
                        }
                    };
            try {
                answer.body = readBody(counted, message);
            } catch (IOException e) {
                answer.body = seen.toByteArray();
                throw e;
            }
        }

        @Override
        public void close() {
            closeQuietly(socket);
        }

        /** Makes one call on a connection of its own. */
        static Answer once(int port, String head, byte[] body, long timeoutMillis) {
            try (Client client = new Client(port)) {
                return client.call(head, body, timeoutMillis);
            } catch (IOException e) {
                Answer answer = new Answer();
                answer.end = "could not connect: " + e.getMessage();
                return answer;
            }
        }
    }

    /** Accepts connections and gives each a thread. */
    abstract static class Listener implements Closeable {
        final int port;
        private final ServerSocket listening;
        private volatile boolean closed;

        Listener() throws IOException {
            listening = new ServerSocket(0, 1000, loopback());
            port = listening.getLocalPort();
        }

        void listen(String name) {
            start(
                    name,
                    () -> {
                        while (!closed) {
                            try {
                                Socket socket = listening.accept();
                                socket.setTcpNoDelay(true);
                                start(name + "-connection", () -> run(socket));
                            } catch (IOException e) {
                                return;
                            }
                        }
                    });
        }

        private void run(Socket socket) {
            try (socket) {
                PushbackInputStream in =
                        new PushbackInputStream(
                                new java.io.BufferedInputStream(socket.getInputStream()));
                for (int next = in.read(); next >= 0; next = in.read()) {
                    in.unread(next);
                    Message request = readHead(in);
                    request.body = readBody(in, request);
                    if (!serve(request, socket)) {
                        return;
                    }
                }
            } catch (IOException | RuntimeException e) {
                // The peer has gone or has sent half a request.
            }
        }

        /** Serves a request that came whole; returns whether the connection stays open. */
        abstract boolean serve(Message request, Socket socket) throws IOException;

        static void answer(Socket socket, String status, String headers, byte[] body)
                throws IOException {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(
                    ("HTTP/1.1 "
                                    + status
                                    + "\r\nContent-Length: "
                                    + body.length
                                    + "\r\n"
                                    + headers
                                    + "\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            all.write(body);
            socket.getOutputStream().write(all.toByteArray());
        }

        @Override
        public void close() {
            closed = true;
            closeQuietly(listening);
        }
    }

    /** A save server as the list of discovery shows it. */
    record Target(String uid, int port, String zone, String state, long bootMillis) {
        String json() {
            return String.format(
                    Locale.ROOT,
                    "{\"uid\":\"%s\",\"endpoint\":\"127.0.0.1:%d\",\"az\":\"%s\",\"model\":\"m\","
                            + "\"pod_group\":%d,\"state\":\"%s\",\"capacity_hint\":1.0,\"boot_ms\":%d}",
                    uid,
                    port,
                    zone,
                    zone.charAt(0) - 'a',
                    state,
                    bootMillis);
        }
    }

    /** The agent of discovery on a sidecar's machine. */
    static final class Agent extends Listener {
        private final Map<String, Target> targets = new LinkedHashMap<>();
        private final Map<String, Long> changedAt = new LinkedHashMap<>();
        private long revision = 1;

        Agent() throws IOException {
            listen("agent");
        }

        synchronized void put(Target target) {
            revision++;
            targets.put(target.uid, target);
            changedAt.put(target.uid, revision);
            notifyAll();
        }

        @Override
        boolean serve(Message request, Socket socket) throws IOException {
            String body;
            synchronized (this) {
                long from = parameter(request.path(), "from", -1);
                long until =
                        System.nanoTime()
                                + TimeUnit.MILLISECONDS.toNanos(
                                        parameter(request.path(), "hold_ms", 0));
                while (from >= revision && System.nanoTime() < until) {
                    long rest = TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime());
                    try {
                        wait(Math.max(1, rest));
                    } catch (InterruptedException e) {
                        return false;
                    }
                }
                List<String> entries = new ArrayList<>();
                for (Target target : targets.values()) {
                    boolean gone = target.state.equals("terminated");
                    if (from < 0 ? !gone : changedAt.get(target.uid) > from) {
                        entries.add(target.json());
                    }
                }
                body =
                        "{\"rev\":"
                                + revision
                                + ",\"all\":"
                                + (from < 0)
                                + ",\"targets\":["
                                + String.join(",", entries)
                                + "]}";
            }
            answer(socket, "200 OK", "", body.getBytes(StandardCharsets.UTF_8));
            return true;
        }

        private static long parameter(String path, String name, long fallback) {
            int query = path.indexOf('?');
            if (query >= 0) {
                for (String part : path.substring(query + 1).split("&")) {
                    if (part.startsWith(name + "=")) {
                        return Long.parseLong(part.substring(name.length() + 1));
                    }
                }
            }
            return fallback;
        }
    }

    /** A temporary folder that is deleted at the end. */
    static final class Folder implements Closeable {
        final Path path;

        Folder() throws IOException {
            path = Files.createTempDirectory("sagefall-review-");
        }

        Path write(String name, String text) throws IOException {
            Path temporary = Files.writeString(path.resolve(name + ".new"), text);
            return Files.move(
                    temporary,
                    path.resolve(name),
                    java.nio.file.StandardCopyOption.REPLACE_EXISTING,
                    java.nio.file.StandardCopyOption.ATOMIC_MOVE);
        }

        @Override
        public void close() throws IOException {
            try (Stream<Path> files = Files.walk(path)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.deleteIfExists(file);
                }
            }
        }
    }

    /** A case: its arguments are the root of the repository and the folder of the case. */
    interface Case {
        /** Returns {@link #HELD}, {@link #BROKEN} or {@link #NOT_RUN}. */
        int run(Path root, Record record, Folder folder) throws Exception;
    }

    /** Runs a case and exits with its result. */
    static void main(String[] arguments, Case run) throws IOException {
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> STARTED.forEach(Process::destroyForcibly)));
        int result = NOT_RUN;
        try (Record record = new Record(Path.of(arguments[1], "record.txt"));
                Folder folder = new Folder()) {
            record.line(trouble() ? "with the disruption" : "without the disruption (TROUBLE=0)");
            try {
                result = run.run(Path.of(arguments[0]), record, folder);
            } catch (Exception e) {
                record.say("the case could not run: %s", e);
            }
            record.say(
                    result == HELD
                            ? "the rule held"
                            : result == BROKEN ? "the rule was broken" : "not run");
        }
        System.exit(result);
    }
}
