package sagefall.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import sagefall.balancer.DefaultLoadBalancer;

/** Tests the life cycle states of a sidecar. */
class LifecycleTest extends SocketTest {

    /** Each line names a state and all its legal successors. */
    @ParameterizedTest
    @CsvSource({
        "CREATED,            AWAITING_ENDPOINTS BINDING DRAINING",
        "AWAITING_ENDPOINTS, BINDING DRAINING",
        "BINDING,            SERVING FAILED DRAINING",
        "SERVING,            DRAINING",
        "FAILED,             DRAINING",
        "DRAINING,           STOPPED",
        "STOPPED,            ''",
    })
    void transitionsOutsideTheTableAreRejected(LifecycleState from, String successors) {
        for (LifecycleState to : LifecycleState.values()) {
            if (List.of(successors.split(" ")).contains(to.name())) {
                assertSame(to, from.transitionTo(to));
            } else {
                IllegalStateException illegal =
                        assertThrows(IllegalStateException.class, () -> from.transitionTo(to));
                assertEquals("no transition from " + from + " to " + to, illegal.getMessage());
            }
        }
    }

    /**
     * Guards against a fault in which the sidecar accepted clients while the process shut down, for
     * example because SIGTERM arrived during the warm-up.
     */
    @ParameterizedTest
    @CsvSource({"ask", "push"})
    void sidecarStoppedBeforeItsStartNeverListens(String discovery) throws Exception {
        int port = freePort();
        SidecarHarness harness = harness(server(ScriptedPeer.SILENT));
        harness.withConfig("'discovery':'ask'", "'discovery':'" + discovery + "'")
                .withConfig("127.0.0.1:0", "127.0.0.1:" + port)
                .create(DefaultLoadBalancer::new);
        assertTrue(harness.stop().await(10, TimeUnit.SECONDS));
        CompletableFuture<InetSocketAddress> started = harness.sidecar.start();
        harness.awaitLoop();
        harness.awaitLoop();
        assertFalse(started.isDone());
        assertTrue(harness.discovery.receivedRequests.isEmpty());
        new ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close();
    }

    @Test
    void addressInUseFailsTheStart() throws Exception {
        ServerSocket boundSocket =
                closeAfterTest(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
        SidecarHarness harness = harness(server(ScriptedPeer.SILENT));
        harness.withConfig("127.0.0.1:0", "127.0.0.1:" + boundSocket.getLocalPort());
        CompletableFuture<InetSocketAddress> started = harness.startAsync(DefaultLoadBalancer::new);
        ExecutionException failure =
                assertThrows(ExecutionException.class, () -> started.get(10, TimeUnit.SECONDS));
        assertTrue(failure.getCause() instanceof BindException, failure.toString());
        assertTrue(harness.stop().await(10, TimeUnit.SECONDS));
    }

    private static int freePort() throws Exception {
        try (ServerSocket free = new ServerSocket(0)) {
            return free.getLocalPort();
        }
    }
}
