package sagefall.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import sagefall.config.SidecarConfig;

/** The warm-up sends its requests through a complete sidecar, and nothing out of the process. */
class JvmWarmUpTest extends SocketTest {

    private static final int REQUESTS = 50;

    private static SidecarConfig configListeningAt(SidecarHarness harness, int port)
            throws IOException {
        return SidecarConfig.read(
                Map.of(
                        "LB_CONFIG",
                        harness.configFile.toString(),
                        "LB_LISTEN",
                        "127.0.0.1:" + port));
    }

    private static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0)) {
            return free.getLocalPort();
        }
    }

    /** Several times: before, the address was at times still in use when the warm-up had ended. */
    @Test
    void allRequestsAreAnsweredAndNothingLeavesTheProcess() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.SILENT);
        SidecarHarness harness = harness(server);
        SidecarConfig config = configListeningAt(harness, freePort());
        for (int i = 0; i < 5; i++) {
            assertTrue(JvmWarmUp.run(config, REQUESTS, 20_000) >= REQUESTS);
            new ServerSocket(config.listen().getPort()).close();
        }
        assertTrue(server.receivedRequests.isEmpty());
        assertEquals(0, server.accepted.get());
        assertEquals(0, harness.discovery.accepted.get());
    }

    @Test
    void itEndsAtItsTimeLimit() throws Exception {
        SidecarHarness harness = harness(server(ScriptedPeer.SILENT));
        long since = System.nanoTime();
        JvmWarmUp.run(configListeningAt(harness, freePort()), Integer.MAX_VALUE, 100);
        assertTrue(System.nanoTime() - since < 5_000_000_000L);
    }

    /** No client gets an answer of the warm-up's own servers. */
    @Test
    void clientsAreNotServed() throws Exception {
        SidecarHarness harness = harness(server(ScriptedPeer.SILENT));
        SidecarConfig config = configListeningAt(harness, freePort());
        var running =
                CompletableFuture.supplyAsync(
                        () -> {
                            try {
                                return JvmWarmUp.run(config, Integer.MAX_VALUE, 2_000);
                            } catch (InterruptedException e) {
                                return -1;
                            }
                        });
        try (TestClient client = connect(config.listen())) {
            assertEquals(503, client.healthCheck().answer().status());
            assertEquals(502, client.search(2_000).answer().status());
            assertEquals(502, client.search(2_000).answer().status());
        }
        assertTrue(running.join() > 0);
    }

    private static TestClient connect(InetSocketAddress address) {
        while (true) {
            try {
                return new TestClient(address);
            } catch (IOException e) {
                Thread.onSpinWait();
            }
        }
    }
}
