package sagefall.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the sidecar as a whole process: signals, exit codes, limits and configuration. */
class SidecarProcessTest extends SocketTest {

    /** The process receives SIGTERM alone, or immediately before or after another signal. */
    @ParameterizedTest
    @ValueSource(strings = {"TERM", "HUP TERM", "TERM HUP", "TERM TERM"})
    void terminationCompletesRequestsInFlightAndExitsWithZero(String signals) throws Exception {
        ScriptedPeer server = server(ScriptedPeer.SILENT);
        SidecarProgram program = closeAfterTest(new SidecarProgram(harness(server)).start());
        TestClient client = closeAfterTest(program.connect());
        client.book("x", 20_000);
        ReceivedRequest inFlight = server.take();
        program.signal(signals.split(" "));
        assertTrue(program.keepsRunningFor(600), "exited with a request in flight");
        inFlight.respond("200 OK", "", "done");
        assertEquals("done", client.readResponse().body());
        client.assertClosed();
        program.assertExitCode(0);
    }

    /**
     * The sidecar accepts no client before the agent's first response. No request is in flight, so
     * the shutdown waits for none.
     */
    @Test
    void terminationBeforeFirstEndpointListExitsImmediately() throws Exception {
        SidecarHarness harness = harness(server(ScriptedPeer.SILENT)).withPushedEndpoints();
        SidecarProgram program = closeAfterTest(new SidecarProgram(harness).start());
        harness.discovery.take();
        program.signal("TERM");
        program.assertExitCode(0);
    }

    @Test
    void addressInUseIsReportedInOneLineWithExitCodeOne() throws Exception {
        SidecarProgram program =
                closeAfterTest(new SidecarProgram(harness(server(ScriptedPeer.SILENT))));
        closeAfterTest(
                new ServerSocket(program.address.getPort(), 1, program.address.getAddress()));
        program.start().assertExitCode(1);
        List<String> output = program.output();
        assertEquals(1, output.size(), output.toString());
        assertTrue(output.get(0).startsWith("sagefall: cannot start: "), output.get(0));
        assertTrue(output.get(0).contains("BindException"), output.get(0));
    }

    /**
     * An earlier version limited the size of an endpoint list to 1 MiB. The list of this test
     * exceeds 1 MiB: it is indented, and its names have 253 characters, which is the maximum length
     * of a domain name.
     */
    @Test
    void listOf1024EndpointsIsReadWithinMemoryLimitsOfRunCommand() throws Exception {
        String zone = "a".repeat(253);
        ScriptedPeer old = server(ScriptedPeer.CLOSE_CONNECTION);
        ScriptedPeer server = server(ScriptedPeer.respondsOk("of the list"));
        SidecarHarness harness =
                harness(old)
                        .withConfig("'a'", "'" + zone + "'")
                        .withConfig("'tick_us'", "'replicas_of_me':1024,'tick_us'");
        String[] memoryOptions = SidecarProgram.memoryOptionsOfRunCommand();
        assertTrue(memoryOptions.length >= 3, String.join(" ", memoryOptions));
        SidecarProgram program = closeAfterTest(new SidecarProgram(harness, memoryOptions).start());
        TestClient client = closeAfterTest(program.connect());
        String list = listOf1024(zone, server.port());
        assertTrue(list.length() > 1024 * 1024, list.length() + " bytes");
        harness.publishEndpoints(2, list);
        for (int i = 0; i < 20; i++) {
            assertEquals("of the list", client.search(5_000).readResponse().body());
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

    /**
     * Idle clients may use all descriptors for client connections. They must not use the descriptor
     * for the connection to discovery.
     */
    @Test
    void idleClientsDuringDiscoveryOutageBlockNeitherDiscoveryNorRequests() throws Exception {
        ScriptedPeer draining = server(ScriptedPeer.respondsOk("draining"));
        ScriptedPeer ready = server(ScriptedPeer.respondsOk("ready"));
        SidecarHarness harness =
                closeAfterTest(new SidecarHarness(folder, 250_000, 256, draining, ready))
                        .withPushedEndpoints();
        // The descriptor limit exceeds the 256 configured sockets by 64, because the JVM keeps the
        // files of the test's class path open.
        SidecarProgram program =
                closeAfterTest(new SidecarProgram(harness).withDescriptorLimit(256 + 64).start());
        program.connect().close();
        for (int round = 0; round < 3; round++) {
            List<TestClient> idle = new ArrayList<>();
            for (int i = 0; i < 300; i++) {
                idle.add(closeAfterTest(new TestClient(program.address)));
            }
            // The sidecar closes an idle connection when a new one exceeds the limit.
            idle.get(0).assertClosed();
        }
        harness.publishEndpoints(2, SidecarHarness.list(2, false, "terminating", draining));
        for (int i = 0; i < 20; i++) {
            try (TestClient client = new TestClient(program.address)) {
                assertEquals("ready", client.search(5_000).readResponse().body());
            }
        }
        assertTrue(program.keepsRunningFor(0));
    }

    /**
     * At SIGHUP, the discovery address in the configuration file takes precedence over the address
     * in {@code LB_DISCOVERY}. An invalid configuration file changes nothing.
     */
    @Test
    void reloadSwitchesToNewDiscoveryAddress() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.respondsOk("ok"));
        ScriptedPeer newDiscovery = server(ScriptedPeer.SILENT);
        SidecarHarness harness = harness(server);
        String oldDiscovery = "127.0.0.1:" + harness.discovery.port();
        SidecarProgram program = closeAfterTest(new SidecarProgram(harness));
        program.withEnvironment("LB_DISCOVERY", oldDiscovery).start();
        TestClient client = closeAfterTest(program.connect());
        harness.discovery.take();
        String configuration = Files.readString(harness.configFile);
        Files.writeString(
                harness.configFile, configuration.substring(0, configuration.length() / 2));
        program.signal("HUP");
        assertEquals(200, client.search(2_000).readResponse().status());
        Files.writeString(
                harness.configFile,
                configuration.replace(oldDiscovery, "127.0.0.1:" + newDiscovery.port()));
        program.signal("HUP");
        ReceivedRequest request = newDiscovery.take();
        assertEquals("GET /v1/servers HTTP/1.1", request.request().startLine());
        harness.discovery.awaitConnectionEnd();
        // The sidecar uses the old endpoint list until the new discovery service responds.
        assertEquals(200, client.search(2_000).readResponse().status());
        newDiscovery.receivedRequests.add(request);
        SidecarHarness.publishEndpoints(
                newDiscovery, 7, SidecarHarness.list(7, true, "terminating", server));
        assertEquals(503, client.search(2_000).readResponse().status());
        // Another reload switches back to the old discovery address.
        Files.writeString(harness.configFile, configuration);
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
                        + " | endpoint list lacks",
            })
    void invalidConfigurationIsReportedInOneLine(String text, String message) throws Exception {
        Path file = folder.resolve("bad.json");
        Files.writeString(file, SidecarHarness.json(text.equals("''") ? "" : text));
        assertReportedInOneLine(Map.of("LB_CONFIG", file.toString()), message);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{'streamin':{}} | extensions.streamin: unknown key",
                "{'streaming':7} | extensions.streaming: must be an object",
                "{'streaming':{'classes':{'export':{}},'x':1}} | extensions.streaming.x: unknown"
                        + " key",
                "{'streaming':{'classes':{'export':{'x':1}}}} |"
                        + " extensions.streaming.classes.export.x: unknown key",
                "{'streaming':{'classes':{'nope':{}}}} | classes.nope: the settings have no such",
                "{'streaming':{'classes':{'book':{'max_answer_bytes':1}}}} | max_answer_bytes: the"
                        + " settings do not",
                "{'streaming':{'high_watermark_bytes':100,'low_watermark_bytes':100}} | must be"
                        + " below high",
                "{'streaming':{'max_buffered_bytes':40000}} | the buffer size of one stream, ",
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
    void invalidExtensionsAreReportedInOneLineAndChangeNothing(String text, String message)
            throws Exception {
        ScriptedPeer server = server(ScriptedPeer.SILENT);
        SidecarHarness harness = harness(server);
        harness.withExtensions(text);
        assertReportedInOneLine(harness.environment(), message);
        harness.withExtensions("{'streaming':{'classes':{'book':{'max_request_bytes':70000}}}}")
                .start();
        harness.withExtensions(text).reload();
        String log = harness.log.toString(StandardCharsets.UTF_8);
        assertTrue(log.contains(message) && log.contains("the old configuration stays"), log);
        // If the test runs for several seconds, the sidecar may also log that discovery does not
        // respond. Such lines are not counted.
        assertEquals(1, log.lines().filter(line -> !line.contains("discovery")).count(), log);
        // An upload of 70001 bytes exceeds the limit of 70000 bytes. The next reload raises the
        // limit to 70001 bytes, so that the sidecar accepts the upload.
        assertEquals(413, statusOfUpload(harness, 70_001));
        harness.withExtensions("{'streaming':{'classes':{'book':{'max_request_bytes':70001}}}}");
        harness.reload();
        TestClient accepted = harness.client();
        accepted.write(TestClient.head("POST", "/book/k1", 2_000, "", 70_001))
                .write("x".repeat(70_001));
        assertEquals(70_001, server.take().request().body().length());
    }

    private static int statusOfUpload(SidecarHarness harness, int length) throws Exception {
        return harness.client()
                .write(TestClient.head("POST", "/book/k1", 2_000, "", length))
                .readResponse()
                .status();
    }

    @Test
    void missingExtensionsFileIsReportedInOneLine() throws Exception {
        Map<String, String> environment =
                Map.of(
                        "LB_CONFIG", harness().configFile.toString(),
                        "LB_EXTENSIONS", folder.resolve("none").toString());
        assertReportedInOneLine(environment, "none: can't be read");
    }

    @Test
    void missingConfigurationIsReportedInOneLine() {
        assertReportedInOneLine(Map.of(), "LB_CONFIG");
        assertReportedInOneLine(Map.of("LB_CONFIG", folder.resolve("none").toString()), "none");
    }

    private static void assertReportedInOneLine(Map<String, String> environment, String message) {
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        assertEquals(2, SidecarProcess.run(environment, new PrintStream(errors, true)));
        String text = errors.toString(StandardCharsets.UTF_8);
        assertEquals(1, text.lines().count(), text);
        assertTrue(text.contains(message), text);
    }
}
