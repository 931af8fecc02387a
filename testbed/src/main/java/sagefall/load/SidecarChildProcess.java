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

/**
 * A sidecar that runs as a process of its own, started with the command {@code run} of the deploy
 * file and with a generated configuration file.
 */
public final class SidecarChildProcess implements AutoCloseable {

    /** The archive that the build creates, relative to the checkout. */
    public static final String JAR = "sidecar/target/sagefall.jar";

    /**
     * The checkout whose deploy file is used. The script {@code ./sagefall} passes its path as a
     * system property, so that the script can be called from any directory.
     */
    public static final Path ROOT = Path.of(System.getProperty("sagefall.root", "."));

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String INSTANCE_NAME = "sidecar";
    private static final long READY_TIMEOUT_SECONDS = 60;
    private static final long TERMINATION_TIMEOUT_SECONDS = 20;

    private static final Pattern ARCHIVE = Pattern.compile("-jar (\\S+)");

    private final Process process;
    private final InetSocketAddress address;
    private final Path log;

    /**
     * Starts a sidecar on a free port and waits until it is ready.
     *
     * @param jar archive that replaces {@link #JAR} in the command {@code run}
     * @param settings settings of the balancer
     * @param extensions content of the extensions file; null for no file
     * @param discovery source of the endpoint list in the sidecar's configuration
     * @param discoveryPort port of discovery on loopback
     */
    public SidecarChildProcess(
            String jar,
            Map<String, Object> settings,
            Map<String, Object> extensions,
            StandInDiscovery discovery,
            int discoveryPort)
            throws IOException, InterruptedException {
        this(
                runCommand(ROOT).replace(JAR, jar),
                ROOT,
                Files.createTempDirectory("sidecar"),
                freeAddress(InetAddress.getLoopbackAddress()),
                SidecarConfigFactory.config(
                        INSTANCE_NAME,
                        "127.0.0.1:" + discoveryPort,
                        "8c1f30d27a5be964",
                        discovery.list(),
                        settings),
                extensions);
        awaitReady();
    }

    /**
     * Starts a sidecar, and does not wait until it is ready.
     *
     * @param run the command, from {@link #runCommand}
     * @param root the checkout in which the command runs
     * @param directory directory of this sidecar, for its configuration and its log; if the log
     *     exists, the sidecar appends to it
     * @param listen address on which the sidecar accepts clients
     * @param config the configuration, to which {@code listen} is added
     * @param extensions content of the extensions file; null for no file
     */
    public SidecarChildProcess(
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
        builder.environment().put("LB_CONFIG", writeJson(directory.resolve("config.json"), config));
        if (extensions != null) {
            builder.environment()
                    .put(
                            "LB_EXTENSIONS",
                            writeJson(directory.resolve("extensions.json"), extensions));
        }
        process =
                builder.redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                        .start();
    }

    /**
     * Returns the command {@code run} of a checkout's deploy file.
     *
     * @throws NoSuchFileException with a message of one line if the directory is not a checkout, or
     *     the checkout is not built
     */
    public static String runCommand(Path root) throws IOException {
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

    /** Returns the IP address with a port that is free at the moment of the call. */
    public static InetSocketAddress freeAddress(InetAddress ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, ip)) {
            return new InetSocketAddress(ip, socket.getLocalPort());
        }
    }

    /**
     * Waits until the sidecar reports that it is ready.
     *
     * @throws IOException with the sidecar's log, if the process exits or is not ready within 60 s
     */
    public void awaitReady() throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_SECONDS);
        while (!isReady()) {
            if (!process.isAlive() || System.nanoTime() > deadlineNanos) {
                process.destroyForcibly();
                throw new IOException("the sidecar did not become ready: " + Files.readString(log));
            }
            process.waitFor(20, TimeUnit.MILLISECONDS);
        }
    }

    /** Returns the operating system process. */
    public Process process() {
        return process;
    }

    private static String writeJson(Path file, Map<String, Object> object) throws IOException {
        Files.write(file, JSON.writeValueAsBytes(object));
        return file.toString();
    }

    private boolean isReady() {
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

    /** Returns the port on which the sidecar accepts clients. */
    int port() {
        return address.getPort();
    }

    /** Opens a connection to the sidecar. */
    Socket connect() throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(120_000);
        return socket;
    }

    /** Returns statistics of the memory, descriptors and processor time of the process. */
    public ProcessStatistics statistics() {
        return new ProcessStatistics(process);
    }

    /**
     * Terminates the process by SIGTERM, or by SIGKILL if it has not exited after 20 s.
     *
     * @return its exit status
     */
    int terminate() {
        process.destroy();
        process.onExit()
                .orTimeout(TERMINATION_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .exceptionally(timeout -> process.destroyForcibly())
                .join();
        return process.onExit().join().exitValue();
    }

    /** Terminates the process and prints its log. */
    @Override
    public void close() throws IOException {
        terminate();
        for (String line : Files.readAllLines(log)) {
            System.out.println("  log: " + line);
        }
    }
}
