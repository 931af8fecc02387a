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

/** Checks that the warm-up sends requests through a sidecar and that none leaves the process. */
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

    /**
     * Guards against a fault in which the listening address was still in use after the warm-up. The
     * test runs the warm-up five times, because the fault occurred only in some runs.
     */
    @Test
    void warmUpRequestsCompleteAndNoneLeavesTheProcess() throws Exception {
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
    void warmUpEndsAtItsTimeLimit() throws Exception {
        SidecarHarness harness = harness(server(ScriptedPeer.SILENT));
        long startNanos = System.nanoTime();
        JvmWarmUp.run(configListeningAt(harness, freePort()), Integer.MAX_VALUE, 100);
        assertTrue(System.nanoTime() - startNanos < 5_000_000_000L);
    }

    /** A real client must never receive a response of the warm-up's simulated endpoints. */
    @Test
    void clientReceivesOnlyErrorResponsesDuringTheWarmUp() throws Exception {
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
            assertEquals(503, client.healthCheck().readResponse().status());
            assertEquals(502, client.search(2_000).readResponse().status());
            assertEquals(502, client.search(2_000).readResponse().status());
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
