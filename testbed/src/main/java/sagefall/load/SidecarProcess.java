package sagefall.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A real sidecar, started as the deploy file's {@code run} says, with a configuration file. */
public final class SidecarProcess implements AutoCloseable {

    /** The archive that {@code build} leaves. */
    public static final String JAR = "sidecar/target/sagefall.jar";

    /**
     * The checkout whose deploy file is used; the launcher names it, whatever directory it is
     * called from.
     */
    public static final Path ROOT = Path.of(System.getProperty("sagefall.root", "."));

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String INSTANCE_NAME = "sidecar";
    private static final long READY_SECONDS = 60;
    private static final long END_SECONDS = 20;

    private static final Pattern ARCHIVE = Pattern.compile("-jar (\\S+)");

    private final Process process;
    private final InetSocketAddress address;
    private final Path log;

    /**
     * Starts it on a free port and waits until it is ready.
     *
     * @param jar the archive in the place of the one that {@code run} names
     * @param extensions the file of extensions; null for none
     * @param discovery for the endpoint list in its configuration
     * @param discoveryPort where it finds discovery
     */
    public SidecarProcess(
            String jar,
            Map<String, Object> settings,
            Map<String, Object> extensions,
            StandInDiscovery discovery,
            int discoveryPort)
            throws IOException, InterruptedException {
        this(
                run(ROOT).replace(JAR, jar),
                ROOT,
                Files.createTempDirectory("sidecar"),
                free(InetAddress.getLoopbackAddress()),
                SidecarConfig.config(
                        INSTANCE_NAME,
                        "127.0.0.1:" + discoveryPort,
                        "8c1f30d27a5be964",
                        discovery.list(),
                        settings),
                extensions);
        awaitReady();
    }

    /**
     * Starts it, and does not wait until it is ready.
     *
     * @param run the command, from {@link #run}
     * @param root the checkout that it is run in
     * @param directory its own, for its configuration and its log, which a later start appends to
     */
    public SidecarProcess(
            String run,
            Path root,
            Path directory,
            InetSocketAddress listen,
            Map<String, Object> config,
            Map<String, Object> extensions)
            throws IOException {
        address = listen;
        log = directory.resolve("log");
        config.put("listen", listen.getAddress().getHostAddress() + ":" + listen.getPort());
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run).directory(root.toFile());
        builder.environment().put("LB_CONFIG", write(directory.resolve("config.json"), config));
        if (extensions != null) {
            builder.environment()
                    .put("LB_EXTENSIONS", write(directory.resolve("extensions.json"), extensions));
        }
        process =
                builder.redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                        .start();
    }

    /**
     * The command of a checkout's deploy file.
     *
     * @throws NoSuchFileException with a message of one line if the checkout is none, or not built
     */
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

    /** A free port at that address. */
    public static InetSocketAddress free(InetAddress at) throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, at)) {
            return new InetSocketAddress(at, free.getLocalPort());
        }
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

    /** The process itself. */
    public Process process() {
        return process;
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
            HttpHead head = HttpHead.read(socket.getInputStream());
            return head != null && head.isOk();
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

    /** Its use of memory, descriptors and processor time. */
    public ProcessStatistics statistics() {
        return new ProcessStatistics(process);
    }

    /** Ends it by SIGTERM, and by SIGKILL if that takes too long; its exit status. */
    int end() {
        process.destroy();
        process.onExit()
                .orTimeout(END_SECONDS, TimeUnit.SECONDS)
                .exceptionally(late -> process.destroyForcibly())
                .join();
        return process.onExit().join().exitValue();
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
