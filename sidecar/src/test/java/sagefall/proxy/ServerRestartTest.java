package sagefall.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import sagefall.proxy.upstream.ConnectionPool;

/**
 * Tests a sidecar whose server has exited while another process has come up at the same address.
 */
class ServerRestartTest extends SocketTest {

    private static final String START = "'boot_ms':5000";

    /** Returns a list of one server that started later than the configured one. */
    private static String restarted(int revision, boolean all, ScriptedPeer server) {
        return SidecarHarness.list(revision, all, "in_service", server)
                .replace("'boot_ms':0", START);
    }

    /** A late notice that the old process drains is not taken for the new one's. */
    @Test
    void outdatedDrainOfTheOldProcessLeavesTheNewOneInService() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.respondsOk("new"));
        SidecarHarness harness = sidecar(server);
        harness.publishEndpoints(9, restarted(9, true, server));
        harness.publishEndpoints(5, SidecarHarness.list(5, true, "terminating", server));
        for (int i = 0; i < 5; i++) {
            assertEquals("new", harness.client().search(2_000).readResponse().body());
        }
    }

    /** A late response of the old process is neither counted nor served as the new one's. */
    @Test
    void connectionToTheOldProcessIsNotUsedForTheNewOne() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.respondsOk("old"));
        SidecarHarness harness = sidecar(server);
        assertEquals("old", harness.client().search(2_000).readResponse().body());
        harness.publishEndpoints(2, restarted(2, false, server));
        server.awaitConnectionEnd();
        server.script(ScriptedPeer.respondsOk("new"));
        TimeUnit.MICROSECONDS.sleep(ConnectionPool.INITIAL_REUSE_DELAY_MICROS);
        assertEquals("new", harness.client().search(2_000).readResponse().body());
        assertEquals(2, server.accepted.get());
    }

    /**
     * A new id at the address of an old one that is still listed: the balancer learns that the old
     * one has gone.
     */
    @Test
    void earlierProcessAtTheAddressOfANewOneIsRemoved() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.respondsOk("new"));
        SidecarHarness harness = harness(server).withPushedEndpoints();
        ScriptedBalancer balancer = ScriptedBalancer.start(harness);
        String withNewId =
                restarted(2, false, server).replace("'s-" + server.port(), "'t-" + server.port());
        harness.publishEndpoints(2, withNewId);
        assertEquals(ScriptedBalancer.listOf(2), balancer.nextEvent());
    }
}
