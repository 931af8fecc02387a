package sagefall.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The program as the platform runs it. */
@Timeout(60)
class SidecarProcessTest {

    @TempDir Path folder;

    /** With so many descriptors. */
    private static ProcessBuilder bounded(int descriptors, ProcessBuilder program) {
        List<String> command =
                new ArrayList<>(
                        List.of("sh", "-c", "ulimit -n " + descriptors + " && exec \"$@\"", "sh"));
        command.addAll(program.command());
        return program.command(command);
    }

    private static ProcessBuilder program(Path config, String listen, String... options) {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        List<String> command = new ArrayList<>(List.of(java, "-XX:TieredStopAtLevel=1"));
        command.addAll(List.of(options));
        command.addAll(
                List.of("-cp", System.getProperty("java.class.path"), "sagefall.Main", "serve"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("LB_CONFIG", config.toString());
        builder.environment().put("LB_LISTEN", listen);
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.DISCARD);
        return builder;
    }

    /** A client begins to send once the program says that it is ready. */
    private static SidecarHarness.Client connect(InetSocketAddress address, Process process)
            throws Exception {
        while (true) {
            try {
                SidecarHarness.Client client = new SidecarHarness.Client(address);
                if (client.raw("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n").answer().status()
                        == 200) {
                    return client;
                }
                client.close();
            } catch (IOException | AssertionError e) {
                // Not listening yet, or closed with the warm-up.
            }
            assertTrue(process.isAlive(), "the program ended");
            process.waitFor(20, TimeUnit.MILLISECONDS);
        }
    }

    /** Alone, or with another signal at once before or behind it. */
    @ParameterizedTest
    @ValueSource(strings = {"TERM", "HUP TERM", "TERM HUP", "TERM TERM"})
    void terminationAnswersWhatIsInHandAndExitsWithZero(String signals) throws Exception {
        InetSocketAddress address;
        try (ServerSocket free = new ServerSocket(0)) {
            address = new InetSocketAddress(InetAddress.getLoopbackAddress(), free.getLocalPort());
        }
        try (ScriptedPeer server = new ScriptedPeer(ScriptedPeer.SILENT);
                SidecarHarness harness = new SidecarHarness(folder, server)) {
            Process process = program(harness.file, "127.0.0.1:" + address.getPort()).start();
            try (SidecarHarness.Client client = connect(address, process)) {
                client.book("x", 20_000);
                ScriptedPeer.Seen held = server.take();
                signal(process, signals.split(" "));
                assertTrue(
                        !process.waitFor(600, TimeUnit.MILLISECONDS),
                        "ended with a request in hand");
                held.reply("200 OK", "", "done");
                assertEquals("done", client.answer().body());
                client.assertClosed();
                assertTrue(process.waitFor(10, TimeUnit.SECONDS));
                assertEquals(0, process.exitValue());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    private static void signal(Process process, String... signals) throws Exception {
        String each =
                Stream.of(signals)
                        .map(s -> "kill -" + s + " " + process.pid())
                        .collect(Collectors.joining(" && "));
        assertEquals(0, new ProcessBuilder("sh", "-c", each).start().waitFor());
    }

    /** Before the agent's first word nobody has been let in, so nothing is owed to anyone. */
    @Test
    void terminationBeforeTheFirstListEndsAtOnce() throws Exception {
        InetSocketAddress address;
        try (ServerSocket free = new ServerSocket(0)) {
            address = new InetSocketAddress(InetAddress.getLoopbackAddress(), free.getLocalPort());
        }
        try (ScriptedPeer server = new ScriptedPeer(ScriptedPeer.SILENT);
                SidecarHarness harness = new SidecarHarness(folder, server).pushed()) {
            Process process = program(harness.file, "127.0.0.1:" + address.getPort()).start();
            try {
                harness.discovery.take();
                signal(process, "TERM");
                assertTrue(process.waitFor(10, TimeUnit.SECONDS));
                assertEquals(0, process.exitValue());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /** The memory that the deploy file's {@code run} allows. */
    private static String[] limitsOfRun() throws IOException {
        String run =
                Files.readAllLines(Path.of("../deploy/balancer.toml")).stream()
                        .filter(line -> line.startsWith("run = "))
                        .findFirst()
                        .orElseThrow();
        return Stream.of(run.split(" "))
                .filter(o -> o.matches("-X(mx|ss).*|-XX:(Max|Reserved).*"))
                .toArray(String[]::new);
    }

    /**
     * Names as long as a domain's may be, indented: over 1 MiB, more than a list might have before.
     */
    @Test
    void fleetOf1024IsKnownWithinTheLimitsOfRun() throws Exception {
        InetSocketAddress address;
        try (ServerSocket free = new ServerSocket(0)) {
            address = new InetSocketAddress(InetAddress.getLoopbackAddress(), free.getLocalPort());
        }
        String zone = "a".repeat(253);
        try (ScriptedPeer old = new ScriptedPeer(ScriptedPeer.HANG_UP);
                ScriptedPeer server = new ScriptedPeer(ScriptedPeer.serves("of the list"));
                SidecarHarness harness = new SidecarHarness(folder, old)) {
            Files.writeString(
                    harness.file,
                    Files.readString(harness.file)
                            .replace("\"a\"", '"' + zone + '"')
                            .replace("\"tick_us\"", "\"replicas_of_me\":1024,\"tick_us\""));
            String[] limits = limitsOfRun();
            assertTrue(limits.length >= 3, String.join(" ", limits));
            Process process =
                    program(harness.file, "127.0.0.1:" + address.getPort(), limits).start();
            try (SidecarHarness.Client client = connect(address, process)) {
                String list =
                        IntStream.range(0, 1024)
                                .mapToObj(
                                        i ->
                                                """
                                                {
                                                        "uid": "%0253d",
                                                        "endpoint": "127.0.0.1:%d",
                                                        "az": "%s",
                                                        "model": "%253s",
                                                        "pod_group": %d,
                                                        "state": "in_service",
                                                        "capacity_hint": 1.0,
                                                        "boot_ms": 0
                                                }\
                                                """
                                                        .formatted(i, server.port(), zone, "m", i)
                                                        .indent(16))
                                .collect(Collectors.joining(", "));
                String whole = "{\"rev\": 2, \"all\": true, \"targets\": [" + list + "]}";
                assertTrue(whole.length() > 1024 * 1024, whole.length() + " bytes");
                harness.tell(2, whole);
                for (int i = 0; i < 20; i++) {
                    assertEquals("of the list", client.search(5_000).answer().body());
                }
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /** Idle clients take all that clients may have; what reaches discovery again is not theirs. */
    @Test
    void idleClientsWhileDiscoveryIsDownKeepNeitherItNorRequestsOut() throws Exception {
        InetSocketAddress address;
        try (ServerSocket free = new ServerSocket(0)) {
            address = new InetSocketAddress(InetAddress.getLoopbackAddress(), free.getLocalPort());
        }
        List<SidecarHarness.Client> idle = new ArrayList<>();
        try (ScriptedPeer leaving = new ScriptedPeer(ScriptedPeer.serves("leaving"));
                ScriptedPeer staying = new ScriptedPeer(ScriptedPeer.serves("staying"));
                SidecarHarness harness =
                        new SidecarHarness(folder, 250_000, 256, leaving, staying).pushed()) {
            // The class path of a test is of many files, each of which is open.
            Process process =
                    bounded(256 + 64, program(harness.file, "127.0.0.1:" + address.getPort()))
                            .start();
            connect(address, process).close();
            try {
                for (int round = 0; round < 3; round++) {
                    for (int i = 0; i < 300; i++) {
                        idle.add(new SidecarHarness.Client(address));
                    }
                    // Its connection is wanted for one that came later.
                    idle.get(idle.size() - 300).assertClosed();
                }
                harness.tell(2, SidecarHarness.list(2, false, "terminating", leaving));
                for (int i = 0; i < 20; i++) {
                    try (SidecarHarness.Client client = new SidecarHarness.Client(address)) {
                        assertEquals("staying", client.search(5_000).answer().body());
                    }
                }
                assertTrue(process.isAlive());
            } finally {
                process.destroyForcibly();
                for (SidecarHarness.Client client : idle) {
                    client.close();
                }
            }
        }
    }

    /**
     * SIGHUP: the file's discovery goes before the environment's, and a wrong file changes nothing.
     */
    @Test
    void hangupGoesOverToTheNewDiscovery() throws Exception {
        InetSocketAddress address;
        try (ServerSocket free = new ServerSocket(0)) {
            address = new InetSocketAddress(InetAddress.getLoopbackAddress(), free.getLocalPort());
        }
        try (ScriptedPeer server = new ScriptedPeer(ScriptedPeer.serves("ok"));
                ScriptedPeer next = new ScriptedPeer(ScriptedPeer.SILENT);
                SidecarHarness harness = new SidecarHarness(folder, server)) {
            ProcessBuilder program = program(harness.file, "127.0.0.1:" + address.getPort());
            program.environment().put("LB_DISCOVERY", "127.0.0.1:" + harness.discovery.port());
            Process process = program.start();
            try (SidecarHarness.Client client = connect(address, process)) {
                harness.discovery.take();
                String text = Files.readString(harness.file);
                Files.writeString(harness.file, text.substring(0, text.length() / 2));
                signal(process, "HUP");
                assertEquals(200, client.search(2_000).answer().status());
                Files.writeString(
                        harness.file,
                        text.replace(":" + harness.discovery.port(), ":" + next.port()));
                signal(process, "HUP");
                ScriptedPeer.Seen asked = next.take();
                assertEquals("GET /v1/servers HTTP/1.1", asked.request().first());
                harness.discovery.awaitEnd();
                // Until the new one has spoken the old list holds.
                assertEquals(200, client.search(2_000).answer().status());
                next.seen.add(asked);
                SidecarHarness.tell(next, 7, SidecarHarness.list(7, true, "terminating", server));
                assertEquals(503, client.search(2_000).answer().status());
                // And back again.
                Files.writeString(harness.file, text);
                signal(process, "HUP");
                assertEquals(
                        "GET /v1/servers HTTP/1.1", harness.discovery.take().request().first());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "'' | not a JSON object",
                "[] | not a JSON object",
                "{'a': | not JSON",
                "{'seed':'1'} | 'settings' is missing",
                "{'name':'n','seed':'1','listen':'localhost:80','settings':{}} | not an address",
                "{'name':'n','seed':'x','listen':'127.0.0.1:0','discovery':'127.0.0.1:1',"
                        + "'settings':{}}"
                        + " | 'seed'",
                "{'name':'n','seed':'1','listen':'127.0.0.1:0','discovery':'127.0.0.1:1',"
                        + "'settings':{}}"
                        + " | classes",
                "{'name':'n','seed':'1','listen':'127.0.0.1:0','discovery':'127.0.0.1:1',"
                        + "'limits':{'sockets':9},'settings':{}}"
                        + " | 'sockets'",
                "{'name':'n','seed':'1','listen':'127.0.0.1:0','discovery':'127.0.0.1:1',"
                        + "'known':{'rev':1},'settings':{}}"
                        + " | a list without",
            })
    void badConfigurationIsOnePlainLine(String text, String message) throws Exception {
        Path file = folder.resolve("bad.json");
        Files.writeString(file, SidecarHarness.json(text.equals("''") ? "" : text));
        assertOneLine(Map.of("LB_CONFIG", file.toString()), message);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{'streamin':{}} | extensions.streamin: unknown name",
                "{'streaming':7} | extensions.streaming: must be an object",
                "{'streaming':{'classes':{'export':{}},'x':1}} | extensions.streaming.x: unknown"
                        + " name",
                "{'streaming':{'classes':{'export':{'x':1}}}} |"
                        + " extensions.streaming.classes.export.x: unknown name",
                "{'streaming':{'classes':{'nope':{}}}} | classes.nope: the settings have no such",
                "{'streaming':{'classes':{'book':{'max_answer_bytes':1}}}} | max_answer_bytes: the"
                        + " settings do not",
                "{'streaming':{'high_watermark_bytes':100,'low_watermark_bytes':100}} | must be"
                        + " below high",
                "{'streaming':{'max_buffered_bytes':40000}} | one stream's window, ",
                "{'streaming':{'max_buffered_bytes':-1}} | max_buffered_bytes: must be a whole"
                        + " number",
                "{'streaming':{'max_buffered_bytes':99999999999999999999}} | must be a whole"
                        + " number",
                "{'streaming':{'replay_bytes':3000000000}} | replay_bytes: must be a whole number",
                "{'streaming':{'read_stall_ms':0}} | read_stall_ms: must be a whole number",
                "{'streaming':{'drain_ms':1.5}} | drain_ms: must be a whole number",
                "{'streaming':{},'streaming':{}} | not JSON",
                "[] | not a JSON object",
            })
    void badExtensionsAreOnePlainLineAndTheOldOnesStay(String text, String message)
            throws Exception {
        try (ScriptedPeer server = new ScriptedPeer(ScriptedPeer.SILENT);
                SidecarHarness harness = new SidecarHarness(folder, server)) {
            harness.extended(text);
            assertOneLine(harness.environment(), message);
            harness.extended("{'streaming':{'classes':{'book':{'max_request_bytes':70000}}}}")
                    .start();
            harness.extended(text).reload();
            String log = harness.log.toString(StandardCharsets.UTF_8);
            assertTrue(log.contains(message) && log.contains("the old configuration stays"), log);
            // Beside it the silent discovery may be told of, where this takes seconds.
            assertEquals(1, log.lines().filter(l -> !l.contains("discovery")).count(), log);
            // Still as the old ones say, and then as new ones do.
            assertEquals(413, big(harness, 70_001));
            harness.extended("{'streaming':{'classes':{'book':{'max_request_bytes':70001}}}}");
            harness.reload();
            SidecarHarness.Client taken = harness.client();
            taken.raw(SidecarHarness.Client.head("POST", "/book/k1", 2_000, "", 70_001))
                    .raw("x".repeat(70_001));
            assertEquals(70_001, server.take().request().body().length());
        }
    }

    private static int big(SidecarHarness harness, int length) throws Exception {
        return harness.client()
                .raw(SidecarHarness.Client.head("POST", "/book/k1", 2_000, "", length))
                .answer()
                .status();
    }

    @Test
    void missingExtensionsAreOnePlainLine() throws Exception {
        try (SidecarHarness harness = new SidecarHarness(folder, new ScriptedPeer[0])) {
            assertOneLine(
                    Map.of(
                            "LB_CONFIG",
                            harness.file.toString(),
                            "LB_EXTENSIONS",
                            folder.resolve("none").toString()),
                    "none: can't be read");
        }
    }

    @Test
    void missingConfigurationIsOnePlainLine() {
        assertOneLine(Map.of(), "LB_CONFIG");
        assertOneLine(Map.of("LB_CONFIG", folder.resolve("none").toString()), "none");
    }

    private static void assertOneLine(Map<String, String> environment, String message) {
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        assertEquals(2, SidecarProcess.run(environment, new PrintStream(errors, true)));
        String text = errors.toString(StandardCharsets.UTF_8);
        assertEquals(1, text.lines().count(), text);
        assertTrue(text.contains(message), text);
    }
}
