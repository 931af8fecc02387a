package sagefall.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A real sidecar, started as the deploy file's {@code run} says, with a configuration of the
 * laboratory's.
 */
public final class SidecarProcess implements AutoCloseable {

    /** The archive that {@code build} leaves. */
    static final String JAR = "sidecar/target/sagefall.jar";

    /**
     * The checkout whose deploy file is used; the launcher names it, whatever folder it is called
     * from.
     */
    public static final Path ROOT = Path.of(System.getProperty("sagefall.root", "."));

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long READY_SECONDS = 60;

    private static final Pattern ARCHIVE = Pattern.compile("-jar (\\S+)");

    private final Process process;
    private final InetSocketAddress address;
    private final Path log;

    /**
     * Starts it and waits until it is ready.
     *
     * @param jar the archive in the place of the one that {@code run} names
     * @param extensions the file of extensions; null for none
     * @param discovery the port of discovery
     */
    SidecarProcess(
            String jar,
            Map<String, Object> settings,
            Map<String, Object> extensions,
            StandInDiscovery directory,
            int discovery)
            throws IOException, InterruptedException {
        this(
                run(ROOT).replace(JAR, jar),
                ROOT,
                Files.createTempDirectory("sidecar"),
                free(InetAddress.getLoopbackAddress()),
                config(
                        "lab",
                        "127.0.0.1:" + discovery,
                        "8c1f30d27a5be964",
                        directory.list(),
                        settings),
                extensions);
        awaitReady();
    }

    /**
     * Starts it and waits for nothing.
     *
     * @param run the command, of {@link #run}
     * @param root the checkout that it is run in
     * @param folder its own, for its configuration and its log, which a later start adds to
     */
    public SidecarProcess(
            String run,
            Path root,
            Path folder,
            InetSocketAddress listen,
            Map<String, Object> config,
            Map<String, Object> extensions)
            throws IOException {
        address = listen;
        log = folder.resolve("log");
        config.put("listen", listen.getAddress().getHostAddress() + ":" + listen.getPort());
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run).directory(root.toFile());
        builder.environment().put("LB_CONFIG", write(folder.resolve("config.json"), config));
        if (extensions != null) {
            builder.environment()
                    .put("LB_EXTENSIONS", write(folder.resolve("extensions.json"), extensions));
        }
        process =
                builder.redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                        .start();
    }

    /** The command of a checkout's deploy file; that its archive is missing is said in one line. */
    public static String run(Path root) throws IOException {
        Path file = root.resolve("deploy/balancer.toml");
        if (!Files.isReadable(file)) {
            throw new NoSuchFileException(
                    root + ": no checkout of sagefall: " + file + " is missing");
        }
        String run = new TomlMapper().readTree(Files.readString(file)).path("run").asText();
        Matcher archive = ARCHIVE.matcher(run);
        if (!archive.find() || !Files.isReadable(root.resolve(archive.group(1)))) {
            throw new NoSuchFileException(
                    root
                            + ": not built: "
                            + (archive.reset().find() ? archive.group(1) : "the archive")
                            + " is missing");
        }
        return run;
    }

    /** A port that is free at that address. */
    public static InetSocketAddress free(InetAddress at) throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, at)) {
            return new InetSocketAddress(at, free.getLocalPort());
        }
    }

    /** The configuration that laboratory sidecars have in common. */
    public static Map<String, Object> config(
            String name,
            String discovery,
            String seed,
            Map<String, Object> known,
            Map<String, Object> settings) {
        Map<String, Object> config = new LinkedHashMap<>();
        config.put("name", name);
        config.put("discovery", discovery);
        config.put("seed", seed);
        config.put("limits", Map.of("cores", 1.0, "memory_mb", 192, "sockets", 1024));
        config.put("known", known);
        config.put("settings", settings);
        return config;
    }

    /** Waits until it answers that it is ready. */
    public void awaitReady() throws IOException, InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_SECONDS);
        while (!healthy()) {
            if (!process.isAlive() || System.nanoTime() > until) {
                process.destroyForcibly();
                throw new IOException("the sidecar did not become ready: " + Files.readString(log));
            }
            process.waitFor(20, TimeUnit.MILLISECONDS);
        }
    }

    public Process process() {
        return process;
    }

    /**
     * Settings for these classes and zones; the rest is what the laboratory's sidecars have in
     * common.
     */
    static Map<String, Object> settings(
            List<Map<String, Object>> classes, List<String> zones, Map<String, Object> report) {
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("classes", classes);
        settings.put("tenants", List.of(Map.of("name", "one", "share", 1)));
        settings.put("zones", zones);
        settings.put("models", List.of("m"));
        settings.put("zone", 0);
        settings.put("discovery", "push");
        settings.put(
                "policy_limits",
                Map.of(
                        "attempts_cap",
                        4,
                        "cancelling",
                        true,
                        "retry_after",
                        true,
                        "max_retry_after_us",
                        2_000_000,
                        "conn_idle_us",
                        15_000_000,
                        "connect_timeout_us",
                        2_000_000));
        settings.put("report", report);
        settings.put(
                "rules",
                Map.of(
                        "ask_every_us",
                        8_000_000,
                        "drain_grace_us",
                        500_000,
                        "cold_from",
                        0.3,
                        "cold_us",
                        5_000_000,
                        "fall_us",
                        1_000_000));
        settings.put("tick_us", 1000);
        return settings;
    }

    private static String write(Path file, Map<String, Object> object) throws IOException {
        Files.write(file, JSON.writeValueAsBytes(object));
        return file.toString();
    }

    private boolean healthy() {
        try (Socket socket = connect()) {
            socket.getOutputStream()
                    .write(
                            "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"
                                    .getBytes(StandardCharsets.US_ASCII));
            Map<String, String> head = StandInServer.head(socket.getInputStream());
            return head != null && head.get("").contains(" 200 ");
        } catch (IOException e) {
            return false;
        }
    }

    int port() {
        return address.getPort();
    }

    Socket connect() throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(120_000);
        return socket;
    }

    /** A line of its status, in KiB. */
    public long status(String name) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
            if (line.startsWith(name + ":")) {
                return Long.parseLong(line.replaceAll("\\D+", ""));
            }
        }
        return -1;
    }

    public int descriptors() throws IOException {
        int count = 0;
        try (DirectoryStream<Path> all =
                Files.newDirectoryStream(Path.of("/proc/" + process.pid() + "/fd"))) {
            for (Path ignored : all) {
                count++;
            }
        }
        return count;
    }

    /** Processor time so far, in ms. */
    long cpuMillis() {
        return process.toHandle().info().totalCpuDuration().orElseThrow().toMillis();
    }

    private String heap() throws IOException, InterruptedException {
        Process jcmd =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "jcmd").toString(),
                                String.valueOf(process.pid()),
                                "GC.heap_info")
                        .redirectErrorStream(true)
                        .start();
        String text;
        try (InputStream in = jcmd.getInputStream()) {
            text = new String(in.readAllBytes(), StandardCharsets.US_ASCII);
        }
        jcmd.waitFor();
        long used = 0;
        Matcher m =
                Pattern.compile(
                                "(?:new generation|tenured generation)\\s+total \\d+K, used"
                                        + " (\\d+)K")
                        .matcher(text);
        while (m.find()) {
            used += Long.parseLong(m.group(1));
        }
        return used / 1024 + " MiB";
    }

    void print(String when) throws IOException, InterruptedException {
        System.out.printf(
                "  %-22s RSS %d MiB, heap %s, descriptors %d%n",
                when, status("VmRSS") / 1024, heap(), descriptors());
    }

    /** Ends it as a planned restart does, by SIGTERM; its exit status. */
    int end() {
        process.destroy();
        return process.onExit()
                .orTimeout(20, TimeUnit.SECONDS)
                .exceptionally(late -> process.destroyForcibly())
                .join()
                .exitValue();
    }

    /** Ends it and prints what it logged. */
    @Override
    public void close() throws IOException {
        end();
        for (String line : Files.readAllLines(log)) {
            System.out.println("  log: " + line);
        }
    }
}
