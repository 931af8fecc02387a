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
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Assertions;

/**
 * The program in a process of its own, as the platform runs it, on a free port and with the
 * configuration of a {@link SidecarHarness} that is not started itself. Closing it kills the
 * process.
 */
final class SidecarProgram implements AutoCloseable {

    private static final long READY_POLL_MILLIS = 20;
    private static final long END_SECONDS = 10;

    /** Where the program listens once it is ready. */
    final InetSocketAddress address;

    private final ProcessBuilder builder;
    private final Path output;

    /** Null before the start. */
    private Process process;

    /**
     * @param options of the runtime
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

    private static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0)) {
            return free.getLocalPort();
        }
    }

    /** Sets a variable. */
    SidecarProgram withEnvironment(String name, String value) {
        builder.environment().put(name, value);
        return this;
    }

    /** Limits the descriptors of the process. */
    SidecarProgram withDescriptors(int descriptors) {
        String limit = "ulimit -n " + descriptors + " && exec \"$@\"";
        List<String> command = new ArrayList<>(List.of("sh", "-c", limit, "sh"));
        command.addAll(builder.command());
        builder.command(command);
        return this;
    }

    /** Starts the process, which is not ready then. */
    SidecarProgram start() throws IOException {
        process = builder.start();
        return this;
    }

    /** Connects a client once the program says that it is ready. */
    TestClient connect() throws InterruptedException {
        while (true) {
            try {
                TestClient client = new TestClient(address);
                if (client.healthCheck().answer().status() == 200) {
                    return client;
                }
                client.close();
            } catch (IOException | AssertionError e) {
                // Not listening yet, or closed with the warm-up.
            }
            Assertions.assertTrue(process.isAlive(), "the program ended");
            process.waitFor(READY_POLL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Sends signals, one right after the other. */
    void signal(String... signals) throws Exception {
        String kill =
                Stream.of(signals)
                        .map(signal -> "kill -" + signal + " " + process.pid())
                        .collect(Collectors.joining(" && "));
        Assertions.assertEquals(0, new ProcessBuilder("sh", "-c", kill).start().waitFor());
    }

    /** Whether the process runs, and goes on to for so long. */
    boolean runsFor(long millis) throws InterruptedException {
        return !process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    /** Waits for the end of the process, which must have this exit code. */
    void assertExitCode(int exitCode) throws InterruptedException {
        Assertions.assertTrue(process.waitFor(END_SECONDS, TimeUnit.SECONDS), "still runs");
        Assertions.assertEquals(exitCode, process.exitValue());
    }

    /**
     * The lines that it has written, but for those of the logging facade, which only the class path
     * of a test has.
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
