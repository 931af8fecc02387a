import java.io.BufferedInputStream;
import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * What all cases share: the record, the sidecar as a process by the deploy file's {@code run}, and
 * clients. {@code args} of each case: the repository's root, the case's folder, a temporary folder.
 */
class Rig {
    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int COULD_NOT_RUN = 2;

    interface Body {
        void run() throws Exception;
    }

    final Path root;
    final Path temporary;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final List<Process> processes = new ArrayList<>();
    private final AtomicLong ids = new AtomicLong(ThreadLocalRandom.current().nextLong() & 0xffffffffL);

    Rig(String[] args) throws IOException {
        root = Path.of(args[0]);
        temporary = Path.of(args[2]);
        record = new PrintWriter(Files.newBufferedWriter(Path.of(args[1], "record.txt")));
        record("trouble " + (trouble ? "on" : "off"));
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
    }

    /** Runs a case and exits with its result; 2 after an exception or 115 seconds. */
    static void main(String[] args, ThrowingCase test) {
        int code = COULD_NOT_RUN;
        try {
            Rig rig = new Rig(args);
            rig.thread(
                    () -> {
                        Thread.sleep(115_000);
                        rig.record("took too long");
                        rig.end();
                        Runtime.getRuntime().halt(COULD_NOT_RUN);
                    });
            code = test.run(rig);
            String line = code == BROKEN ? "RESULT broken" : code == HELD ? "RESULT held" : "RESULT could not run";
            rig.record(line);
            System.out.println(line);
            rig.end();
        } catch (Exception e) {
            e.printStackTrace();
        }
        Runtime.getRuntime().halt(code);
    }

    interface ThrowingCase {
        int run(Rig rig) throws Exception;
    }

    void thread(Body body) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                body.run();
                            } catch (Exception e) {
                                record("stand-in ended: " + e);
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    double millis() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    void record(String line) {
        synchronized (record) {
            record.printf("%10.1f %s%n", millis(), line);
        }
    }

    /** Records a line that is shown too. */
    void say(String line) {
        record(line);
        System.out.println(line);
    }

    private void end() {
        synchronized (processes) {
            for (Process process : processes) {
                process.destroyForcibly();
            }
            for (Process process : processes) {
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
        synchronized (record) {
            record.flush();
        }
    }

    // What save servers have run, for the checks of a case.

    static final class Run {
        final String uid;
        final String id;
        final long atNanos;

        Run(String uid, String id, long atNanos) {
            this.uid = uid;
            this.id = id;
            this.atNanos = atNanos;
        }
    }

    final List<Run> runs = new ArrayList<>();

    void ran(String uid, Wire.Message request) {
        synchronized (runs) {
            runs.add(new Run(uid, request.field("Request-Id"), request.firstByteNanos));
        }
    }

    // The sidecar.

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /**
     * The configuration of a sidecar of a small deployment: the values of the example on the page of
     * the adapter protocol, with the given kind of discovery and class.
     */
    static String config(int listen, int discovery, String known, String kind, String classJson) {
        return config(listen, discovery, known, kind, classJson, 1024);
    }

    /** The same with the given number of descriptors. */
    static String config(
            int listen, int discovery, String known, String kind, String classJson, int sockets) {
        return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + listen + "\",\"discovery\":\"127.0.0.1:" + discovery
                + "\",\"seed\":\"" + HexFormat.of().toHexDigits(ThreadLocalRandom.current().nextLong())
                + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + sockets + "},\"known\":" + known
                + ",\"settings\":{\"classes\":[" + classJson + "],\"clients\":{\"marks_retry\":true},\"discovery\":\""
                + kind + "\",\"domain\":{\"warm_keys\":true},\"family\":\"mesh\","
                + "\"models\":[\"single-fast\",\"dual-slow\"],\"over_share_worth\":0.1,"
                + "\"policy_limits\":{\"attempts_cap\":5,\"cancelling\":true,\"conn_idle_us\":5000000,"
                + "\"connect_timeout_us\":250000,\"max_retry_after_us\":2000000,\"open_cap\":26157,\"peers\":false,"
                + "\"probing\":true,\"retry_after\":false,\"second_copies\":true,\"streams_per_conn\":1},"
                + "\"rank\":0,\"replicas_of_me\":2,\"report\":{\"names\":[\"cpu\",\"rps\",\"avg_ms\"],\"source\":\"answers\"},"
                + "\"rules\":{\"ask_every_us\":10000000,\"cold_from\":0.3,\"cold_us\":8800000,\"drain_grace_us\":500000,"
                + "\"fall_multiple\":3.0,\"fall_us\":1000000,\"grace_to_answer_us\":20000},\"stages\":[\"guardado\"],"
                + "\"tenants\":[{\"name\":\"aula-digital\",\"quota_per_s\":50.0,\"share\":0.5},"
                + "{\"name\":\"lee-y-juega\",\"quota_per_s\":34.0,\"share\":0.34},"
                + "{\"name\":\"mate-rural\",\"quota_per_s\":16.0,\"share\":0.16}],\"tick_us\":5000,\"tier\":0,"
                + "\"value_by\":\"request\",\"weights\":\"rough\",\"zone\":0,\"zones\":[\"zona-10\",\"quetzaltenango\"]}}";
    }

    /** The class of the deployment. */
    static final String SAVE =
            "{\"aim_us\":1200000,\"deadline_us\":2500000,\"dedup_window_us\":2500000,\"effect\":\"token\","
                    + "\"group\":\"zone\",\"late_value\":0.0,\"name\":\"save\",\"streaming\":false,\"worth\":1.0}";

    /** Starts a sidecar by the deploy file; its log goes into the temporary folder. */
    Process start(int listen, int discovery, String config) throws IOException {
        return start(listen, discovery, config, null);
    }

    /** The same with a file of extensions; null for none. */
    Process start(int listen, int discovery, String config, String extensions) throws IOException {
        Path file = temporary.resolve("config.json");
        Files.writeString(file, config);
        Path home = Files.createTempDirectory(temporary, "tmp");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", deployLine("run"));
        builder.directory(root.toFile());
        builder.environment().putAll(Map.of(
                "LB_NAME", "n0",
                "LB_LISTEN", "127.0.0.1:" + listen,
                "LB_DISCOVERY", "127.0.0.1:" + discovery,
                "LB_CONFIG", file.toString(),
                "TMPDIR", home.toString()));
        builder.environment().remove("LB_EXTENSIONS");
        if (extensions != null) {
            Path extensionsFile = temporary.resolve("extensions.json");
            Files.writeString(extensionsFile, extensions);
            builder.environment().put("LB_EXTENSIONS", extensionsFile.toString());
        }
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(temporary.toFile(), "sidecar.log")));
        Process process = builder.start();
        synchronized (processes) {
            processes.add(process);
        }
        record("sidecar started, process " + process.pid());
        return process;
    }

    private String deployLine(String key) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith(key + " = \"")) {
                return line.substring(key.length() + 4, line.length() - 1);
            }
        }
        throw new IOException("no line " + key);
    }

    void signal(Process process, String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        record("signal " + name);
    }

    /** Waits until GET /healthz answers 200; false after 30 s, as the page says. */
    boolean awaitReady(int port) throws Exception {
        long until = System.nanoTime() + 30_000_000_000L;
        while (System.nanoTime() < until) {
            try (Socket socket = connect(port)) {
                socket.getOutputStream().write(Wire.bytes("GET /healthz HTTP/1.1\r\nHost: api.internal\r\n\r\n"));
                Wire.Message answer = Wire.read(socket.getInputStream());
                if (answer != null && answer.status() == 200) {
                    record("sidecar ready");
                    return true;
                }
            } catch (IOException e) {
                // Not listening yet.
            }
            Thread.sleep(20);
        }
        record("sidecar not ready within 30 s");
        return false;
    }

    // Clients.

    static Socket connect(int port) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 1000);
        return socket;
    }

    String newId() {
        return HexFormat.of().toHexDigits(ids.incrementAndGet() * 0x9e3779b97f4a7c15L);
    }

    /** A save as the pages show one. */
    static String request(String id, String tenant, int timeoutMillis, String body) {
        return "POST /save/" + id.substring(8) + " HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: " + id + "\r\nTenant: "
                + tenant + "\r\nRequest-Timeout-Ms: " + timeoutMillis + "\r\nIdempotency-Key: " + id + id
                + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    static final String[] TENANTS = {"aula-digital", "lee-y-juega", "mate-rural"};

    static String tenant() {
        int draw = ThreadLocalRandom.current().nextInt(100);
        return TENANTS[draw < 50 ? 0 : draw < 84 ? 1 : 2];
    }

    /** A client connection: one request at a time, kept while it stays open. */
    final class Client {
        private final int port;
        private Socket socket;
        private BufferedInputStream in;

        Client(int port) {
            this.port = port;
        }

        /** Sends a request and returns its answer; null if none came within its time and 0.6 s. */
        Wire.Message ask(String id, String text, int timeoutMillis) throws IOException {
            for (int i = 0; i < 2; i++) {
                boolean fresh = socket == null;
                try {
                    if (fresh) {
                        socket = connect(port);
                        in = new BufferedInputStream(socket.getInputStream());
                    }
                    socket.setSoTimeout(timeoutMillis + 600);
                    record("sent " + id);
                    socket.getOutputStream().write(Wire.bytes(text));
                    socket.getOutputStream().flush();
                    Wire.Message answer = Wire.read(in);
                    if (answer != null) {
                        record("answered " + id + " " + answer.status());
                        if ("close".equalsIgnoreCase(answer.field("Connection"))) {
                            close();
                        }
                        return answer;
                    }
                } catch (java.net.SocketTimeoutException e) {
                    record("no answer " + id);
                    close();
                    return null;
                } catch (IOException e) {
                    record("connection failed " + id + " " + e);
                }
                close();
                if (fresh) {
                    break;
                }
            }
            record("no answer " + id);
            return null;
        }

        void close() throws IOException {
            if (socket != null) {
                socket.close();
                socket = null;
            }
        }
    }

    static String payload(int length) {
        StringBuilder text = new StringBuilder();
        while (text.length() < length) {
            text.append(Long.toString(ThreadLocalRandom.current().nextLong() & Long.MAX_VALUE, 36));
        }
        return text.substring(0, length);
    }

    /** The sidecar's log, at the end of the record. */
    void recordLog() throws IOException {
        for (String line : Files.readAllLines(temporary.resolve("sidecar.log"), StandardCharsets.UTF_8)) {
            record("log: " + line);
        }
    }
}
