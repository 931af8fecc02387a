package sagefall.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests a sidecar whose process may open fewer descriptors than its configuration states. The
 * sidecar is a process.
 */
class DescriptorsRunOutTest extends SocketTest {

    private static final int DESCRIPTORS = 256;
    private static final int IDLE_CLIENTS = 300;
    private static final long TIMEOUT_MILLIS = 1_300;
    private static final long POLL_MILLIS = 50;

    private SidecarProgram program;

    private boolean isAcceptFailureLogged() throws IOException {
        return program.output().stream().anyMatch(line -> line.contains("ERROR accept_failed "));
    }

    /**
     * Guards against a fault in which the event loop ended at the first accept that failed, because
     * Netty's log could not open the file of the time zones, and the process lived on and answered
     * nobody.
     */
    @Test
    void sidecarServesAgainOnceDescriptorsAreFree() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.respondsOk("ok"));
        program =
                closeAfterTest(
                        new SidecarProgram(
                                        harness(server), SidecarProgram.memoryOptionsOfRunCommand())
                                .withDescriptorLimit(DESCRIPTORS)
                                .start());
        TestClient connected = closeAfterTest(program.connect());
        List<TestClient> idle = new ArrayList<>();
        for (int i = 0; i < IDLE_CLIENTS; i++) {
            idle.add(closeAfterTest(new TestClient(program.address)));
        }
        while (!isAcceptFailureLogged()) {
            Thread.sleep(POLL_MILLIS);
        }
        assertEquals(200, connected.healthCheck().readResponse().status());
        for (TestClient client : idle) {
            client.close();
        }
        try (TestClient client = new TestClient(program.address)) {
            assertEquals(200, client.search(TIMEOUT_MILLIS).readResponse().status());
        }
        assertTrue(program.output().stream().noneMatch(line -> line.contains("Exception in")));
    }
}
