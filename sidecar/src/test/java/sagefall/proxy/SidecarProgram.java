package sagefall.proxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Assertions;
import sagefall.logging.LogEvent;

/**
 * Runs the sidecar as a separate process on a free port. The process uses the configuration file of
 * a {@link SidecarHarness}; the harness itself starts no sidecar. {@link #close} kills the process.
 */
final class SidecarProgram implements AutoCloseable {

    private static final long READY_POLL_MILLIS = 20;
    private static final long EXIT_TIMEOUT_SECONDS = 10;

    /** Address that the process listens on once it is ready. */
    final InetSocketAddress address;

    private final ProcessBuilder builder;
    private final Path output;

    /** The process; null before it is started. */
    private Process process;

    /**
     * Prepares the process without starting it.
     *
     * @param options further command-line options of the JVM
     */
    SidecarProgram(SidecarHarness harness, String... options) throws IOException {
        address = new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort());
        output = harness.configFile.resolveSibling("output");
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        List<String> command = new ArrayList<>(List.of(java, "-XX:TieredStopAtLevel=1"));
        command.addAll(List.of(options));
        command.addAll(
                List.of("-cp", System.getProperty("java.class.path"), "sagefall.Main", "serve"));
        builder = new ProcessBuilder(command);
        builder.redirectErrorStream(true).redirectOutput(output.toFile());
        withEnvironment("LB_CONFIG", harness.configFile.toString());
        withEnvironment("LB_LISTEN", "127.0.0.1:" + address.getPort());
    }

    /** Returns the JVM's memory options in the {@code run} command of the deploy file. */
    static String[] memoryOptionsOfRunCommand() throws IOException {
        String run =
                Files.readAllLines(Path.of("../deploy/balancer.toml")).stream()
                        .filter(line -> line.startsWith("run = "))
                        .findFirst()
                        .orElseThrow();
        return Stream.of(run.split(" "))
                .filter(option -> option.matches("-X(mx|ss).*|-XX:(Max|Reserved|\\+Use).*|-Dio.*"))
                .toArray(String[]::new);
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    /** Sets an environment variable of the process. */
    SidecarProgram withEnvironment(String name, String value) {
        builder.environment().put(name, value);
        return this;
    }

    /** Writes the extensions file that the process reads, from JSON with single quotes. */
    SidecarProgram withExtensions(String quoted) throws IOException {
        Path file = output.resolveSibling("program-extensions.json");
        Files.writeString(file, SidecarHarness.json(quoted));
        return withEnvironment("LB_EXTENSIONS", file.toString());
    }

    /** Limits the number of file descriptors of the process. */
    SidecarProgram withDescriptorLimit(int descriptors) {
        String limit = "ulimit -n " + descriptors + " && exec \"$@\"";
        List<String> command = new ArrayList<>(List.of("sh", "-c", limit, "sh"));
        command.addAll(builder.command());
        builder.command(command);
        return this;
    }

    /** Starts the process without waiting until it is ready. */
    SidecarProgram start() throws IOException {
        process = builder.start();
        return this;
    }

    /** Waits until a health check of the process succeeds and returns the client that sent it. */
    TestClient connect() throws InterruptedException {
        while (true) {
            try {
                TestClient client = new TestClient(address);
                if (client.healthCheck().readResponse().status() == 200) {
                    return client;
                }
                client.close();
            } catch (IOException | AssertionError e) {
                // The process does not listen yet, or its warm-up has ended and closed the
                // connection.
            }
            Assertions.assertTrue(process.isAlive(), "the process has exited");
            process.waitFor(READY_POLL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Sends signals to the process, one immediately after the other. */
    void signal(String... signals) throws Exception {
        Assertions.assertEquals(0, sendSignals(signals));
    }

    /** Sends signals to the process, unless it has exited. */
    void signalIfAlive(String... signals) throws Exception {
        if (process.isAlive()) {
            sendSignals(signals);
        }
    }

    private int sendSignals(String... signals) throws Exception {
        String kill =
                Stream.of(signals)
                        .map(signal -> "kill -" + signal + " " + process.pid())
                        .collect(Collectors.joining(" && "));
        return new ProcessBuilder("sh", "-c", kill).start().waitFor();
    }

    /** Sends SIGTERM to the process. */
    void terminate() {
        process.destroy();
    }

    /** Returns a future that completes when the process has exited. */
    CompletableFuture<Process> onExit() {
        return process.onExit();
    }

    /** Returns the logged line of an event, or an empty text if there is none. */
    String logged(LogEvent event) throws IOException {
        return output().stream()
                .filter(line -> line.contains(" " + event.eventName() + " "))
                .findFirst()
                .orElse("");
    }

    /** Kills the process; returns its exit code if it had already exited. */
    OptionalInt kill() throws InterruptedException {
        if (!process.isAlive()) {
            return OptionalInt.of(process.exitValue());
        }
        process.destroyForcibly().waitFor();
        return OptionalInt.empty();
    }

    /** Returns the resident memory of the process as the kernel reports it, in KiB. */
    long residentKib() throws IOException {
        return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                .filter(line -> line.startsWith("VmRSS:"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
                .findFirst()
                .orElseThrow();
    }

    /** Returns whether the process is still running after the given duration. */
    boolean keepsRunningFor(long millis) throws InterruptedException {
        return !process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    /** Waits until the process exits and asserts its exit code. */
    void assertExitCode(int exitCode) throws InterruptedException {
        Assertions.assertTrue(
                process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS),
                "the process has not exited");
        Assertions.assertEquals(exitCode, process.exitValue());
    }

    /**
     * Returns the lines that the process has written, except lines of SLF4J. Only the class path of
     * tests contains SLF4J.
     */
    List<String> output() throws IOException {
        return Files.readAllLines(output, StandardCharsets.UTF_8).stream()
                .filter(line -> !line.startsWith("SLF4J"))
                .toList();
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
