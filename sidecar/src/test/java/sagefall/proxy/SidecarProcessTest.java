package sagefall.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The program as the platform runs it. */
class SidecarProcessTest extends SocketTest {

    /** Alone, or with another signal directly before or after it. */
    @ParameterizedTest
    @ValueSource(strings = {"TERM", "HUP TERM", "TERM HUP", "TERM TERM"})
    void terminationAnswersRequestsInFlightAndExitsWithZero(String signals) throws Exception {
        ScriptedPeer server = server(ScriptedPeer.SILENT);
        SidecarProgram program = opened(new SidecarProgram(harness(server)).start());
        TestClient client = opened(program.connect());
        client.book("x", 20_000);
        ReceivedRequest inFlight = server.take();
        program.signal(signals.split(" "));
        assertTrue(program.runsFor(600), "ended with a request in flight");
        inFlight.reply("200 OK", "", "done");
        assertEquals("done", client.answer().body());
        client.assertClosed();
        program.assertExitCode(0);
    }

    /** Before the agent's first answer no client is accepted, so nothing is owed to any. */
    @Test
    void terminationBeforeTheFirstListEndsAtOnce() throws Exception {
        SidecarHarness harness = harness(server(ScriptedPeer.SILENT)).withPushedEndpoints();
        SidecarProgram program = opened(new SidecarProgram(harness).start());
        harness.discovery.take();
        program.signal("TERM");
        program.assertExitCode(0);
    }

    @Test
    void addressInUseIsOnePlainLineAndExitCodeOne() throws Exception {
        SidecarProgram program = opened(new SidecarProgram(harness(server(ScriptedPeer.SILENT))));
        opened(new ServerSocket(program.address.getPort(), 1, program.address.getAddress()));
        program.start().assertExitCode(1);
        List<String> output = program.output();
        assertEquals(1, output.size(), output.toString());
        assertTrue(output.get(0).startsWith("sagefall: cannot start: "), output.get(0));
        assertTrue(output.get(0).contains("BindException"), output.get(0));
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
        String zone = "a".repeat(253);
        ScriptedPeer old = server(ScriptedPeer.HANG_UP);
        ScriptedPeer server = server(ScriptedPeer.serves("of the list"));
        SidecarHarness harness =
                harness(old)
                        .withConfig("'a'", "'" + zone + "'")
                        .withConfig("'tick_us'", "'replicas_of_me':1024,'tick_us'");
        String[] limits = limitsOfRun();
        assertTrue(limits.length >= 3, String.join(" ", limits));
        SidecarProgram program = opened(new SidecarProgram(harness, limits).start());
        TestClient client = opened(program.connect());
        String list = listOf1024(zone, server.port());
        assertTrue(list.length() > 1024 * 1024, list.length() + " bytes");
        harness.publishEndpoints(2, list);
        for (int i = 0; i < 20; i++) {
            assertEquals("of the list", client.search(5_000).answer().body());
        }
    }

    private static String listOf1024(String zone, int port) {
        String targets =
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
                                                .formatted(i, port, zone, "m", i)
                                                .indent(16))
                        .collect(Collectors.joining(", "));
        return "{\"rev\": 2, \"all\": true, \"targets\": [" + targets + "]}";
    }

    /** Idle clients take all that clients may have; discovery's connection is not theirs. */
    @Test
    void idleClientsWhileDiscoveryIsDownShutOutNeitherItNorRequests() throws Exception {
        ScriptedPeer leaving = server(ScriptedPeer.serves("leaving"));
        ScriptedPeer staying = server(ScriptedPeer.serves("staying"));
        SidecarHarness harness =
                opened(new SidecarHarness(folder, 250_000, 256, leaving, staying))
                        .withPushedEndpoints();
        // The class path of a test is of many files, each of which is open.
        SidecarProgram program =
                opened(new SidecarProgram(harness).withDescriptors(256 + 64).start());
        program.connect().close();
        for (int round = 0; round < 3; round++) {
            List<TestClient> idle = new ArrayList<>();
            for (int i = 0; i < 300; i++) {
                idle.add(opened(new TestClient(program.address)));
            }
            // Its place is given to one that came later.
            idle.get(0).assertClosed();
        }
        harness.publishEndpoints(2, SidecarHarness.list(2, false, "terminating", leaving));
        for (int i = 0; i < 20; i++) {
            try (TestClient client = new TestClient(program.address)) {
                assertEquals("staying", client.search(5_000).answer().body());
            }
        }
        assertTrue(program.runsFor(0));
    }

    /**
     * SIGHUP: the file's discovery goes before the environment's, and a wrong file changes nothing.
     */
    @Test
    void hangupChangesToTheNewDiscovery() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.serves("ok"));
        ScriptedPeer next = server(ScriptedPeer.SILENT);
        SidecarHarness harness = harness(server);
        String oldDiscovery = "127.0.0.1:" + harness.discovery.port();
        SidecarProgram program = opened(new SidecarProgram(harness));
        program.withEnvironment("LB_DISCOVERY", oldDiscovery).start();
        TestClient client = opened(program.connect());
        harness.discovery.take();
        String text = Files.readString(harness.configFile);
        Files.writeString(harness.configFile, text.substring(0, text.length() / 2));
        program.signal("HUP");
        assertEquals(200, client.search(2_000).answer().status());
        Files.writeString(
                harness.configFile, text.replace(oldDiscovery, "127.0.0.1:" + next.port()));
        program.signal("HUP");
        ReceivedRequest call = next.take();
        assertEquals("GET /v1/servers HTTP/1.1", call.request().startLine());
        harness.discovery.awaitEnd();
        // Until the new one has answered, the old list is used.
        assertEquals(200, client.search(2_000).answer().status());
        next.receivedRequests.add(call);
        SidecarHarness.publishEndpoints(
                next, 7, SidecarHarness.list(7, true, "terminating", server));
        assertEquals(503, client.search(2_000).answer().status());
        // And back to the old one.
        Files.writeString(harness.configFile, text);
        program.signal("HUP");
        assertEquals("GET /v1/servers HTTP/1.1", harness.discovery.take().request().startLine());
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
    void badExtensionsAreOnePlainLineAndChangeNothing(String text, String message)
            throws Exception {
        ScriptedPeer server = server(ScriptedPeer.SILENT);
        SidecarHarness harness = harness(server);
        harness.withExtensions(text);
        assertOneLine(harness.environment(), message);
        harness.withExtensions("{'streaming':{'classes':{'book':{'max_request_bytes':70000}}}}")
                .start();
        harness.withExtensions(text).reload();
        String log = harness.log.toString(StandardCharsets.UTF_8);
        assertTrue(log.contains(message) && log.contains("the old configuration stays"), log);
        // Beside it there may be a line on the silent discovery, where this takes seconds.
        assertEquals(1, log.lines().filter(l -> !l.contains("discovery")).count(), log);
        // First by the old extensions, then by the new ones.
        assertEquals(413, statusOfUpload(harness, 70_001));
        harness.withExtensions("{'streaming':{'classes':{'book':{'max_request_bytes':70001}}}}");
        harness.reload();
        TestClient accepted = harness.client();
        accepted.raw(TestClient.head("POST", "/book/k1", 2_000, "", 70_001))
                .raw("x".repeat(70_001));
        assertEquals(70_001, server.take().request().body().length());
    }

    private static int statusOfUpload(SidecarHarness harness, int length) throws Exception {
        return harness.client()
                .raw(TestClient.head("POST", "/book/k1", 2_000, "", length))
                .answer()
                .status();
    }

    @Test
    void missingExtensionsAreOnePlainLine() throws Exception {
        Map<String, String> environment =
                Map.of(
                        "LB_CONFIG", harness().configFile.toString(),
                        "LB_EXTENSIONS", folder.resolve("none").toString());
        assertOneLine(environment, "none: can't be read");
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
