package sagefall.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import sagefall.proxy.SidecarHarness;

/**
 * Checks the limits that are computed from the configuration, and the error message for each
 * configuration that cannot be used.
 */
class SidecarConfigTest {

    @TempDir Path folder;

    /**
     * A third of the descriptors is for client connections with an open request. Each open request
     * may need a second descriptor for a connection to an endpoint.
     */
    @ParameterizedTest
    @ValueSource(ints = {128, 256, 384, 1024})
    void clientsAndEndpointsEachGetAThirdOfDescriptors(int sockets) throws Exception {
        try (SidecarHarness harness = new SidecarHarness(folder, 250_000, sockets)) {
            SidecarConfig config = harness.config();
            assertTrue(config.maxEndpointConnections() >= sockets / 3, "connections to endpoints");
            assertTrue(config.maxClientConnections() >= sockets / 3, "client connections");
            assertTrue(
                    config.settings().limits().maxOpenRequests() < sockets / 3,
                    "open requests leave some client connections free");
            assertTrue(
                    config.maxEndpointConnections() + config.maxClientConnections() + 16 <= sockets,
                    "all connections and 16 more descriptors");
        }
    }

    private ConfigException readInvalidConfig(String quotedJson) throws IOException {
        Path file = folder.resolve("config.json");
        Files.writeString(file, SidecarHarness.json(quotedJson));
        ConfigException e =
                assertThrows(
                        ConfigException.class,
                        () -> SidecarConfig.read(Map.of("LB_CONFIG", file.toString())));
        assertEquals(file.toString(), e.file());
        return e;
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            nullValues = "-",
            value = {
                "nonsense | - | not JSON: Unrecognized token 'nonsense'",
                "[] | - | not a JSON object",
                "{} {} | - | more than one JSON value",
                "{} | settings | 'settings' is missing",
                "{'settings':{},'limits':{'sockets':5}} | sockets | 'sockets' must be 128 or more",
                "{'settings':{}} | name | 'name' is missing",
                "{'settings':{},'name':'n','listen':'here:1'} | listen | 'here:1' is not an address"
                        + " and a port",
                "{'settings':{},'name':'n','listen':'::1:8'} | discovery | 'discovery' is missing",
                "{'settings':{},'name':'n','listen':'::1:8','discovery':'1.1.1.1:1','seed':'x'}"
                        + " | seed | 'seed' must be up to 16 hex digits",
                "{'settings':{},'name':'n','listen':'::1:8','discovery':'1.1.1.1:1','seed':'a'}"
                        + " | settings | settings: there are no request classes",
                "{'settings':{'classes':[{'effect':'x'}]},'name':'n','listen':'::1:8',"
                        + "'discovery':'1.1.1.1:1','seed':'a'}"
                        + " | settings.classes.effect | settings: unknown effect 'x'",
                "{'settings':{'tenants':[7]},'name':'n','listen':'::1:8',"
                        + "'discovery':'1.1.1.1:1','seed':'a'}"
                        + " | settings.tenants | settings: 'tenants' must hold objects",
                "{'settings':{},'known':{}} | - | endpoint list lacks 'rev', 'all' or 'targets'",
            })
    void unusableFileIsReportedWithFileKeyAndReason(String quotedJson, String key, String line)
            throws Exception {
        ConfigException e = readInvalidConfig(quotedJson);
        assertEquals(key, e.keyPath());
        String expected = e.file() + ": " + line;
        assertEquals(
                expected,
                e.getMessage().replace('"', '\'').substring(0, expected.length()),
                e.getMessage());
    }

    @Test
    void missingFileOrVariableIsNamedInError() {
        String file = folder.resolve("none.json").toString();
        ConfigException e =
                assertThrows(
                        ConfigException.class, () -> SidecarConfig.read(Map.of("LB_CONFIG", file)));
        assertEquals(file + ": can't be read", e.getMessage());
        assertEquals(
                "LB_CONFIG names no file",
                assertThrows(ConfigException.class, () -> SidecarConfig.read(Map.of()))
                        .getMessage());
    }

    @Test
    void unknownExtensionKeyIsNamedWithItsPath() throws Exception {
        Path file = folder.resolve("extensions.json");
        Files.writeString(file, "{\"recovery\":{\"directory\":\"/a\",\"extra\":1}}");
        ConfigException e =
                assertThrows(
                        ConfigException.class,
                        () -> Extensions.read(Map.of("LB_EXTENSIONS", file.toString()), List.of()));
        assertEquals(file + ": extensions.recovery.extra: unknown key", e.getMessage());
        assertEquals("extensions.recovery.extra", e.keyPath());
        assertEquals("unknown key", e.reason());
        assertEquals(file.toString(), e.file());
    }
}
