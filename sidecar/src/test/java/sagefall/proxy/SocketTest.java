package sagefall.proxy;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Base class of tests with real sockets. After each test, closes the resources of the test in the
 * reverse order of their registration.
 */
@Timeout(60)
public abstract class SocketTest {

    /** A new folder for each test. */
    @TempDir public Path folder;

    private final List<AutoCloseable> open = new ArrayList<>();

    @AfterEach
    final void closeAll() throws Exception {
        for (int i = open.size() - 1; i >= 0; i--) {
            open.get(i).close();
        }
    }

    /** Registers a resource to be closed after the test, and returns the resource. */
    public final <T extends AutoCloseable> T closeAfterTest(T resource) {
        open.add(resource);
        return resource;
    }

    /** Starts a server or a discovery agent. */
    public final ScriptedPeer server(ScriptedPeer.Script script) throws IOException {
        return closeAfterTest(new ScriptedPeer(script));
    }

    /**
     * Creates a sidecar that has the given servers as its endpoints, without starting the sidecar.
     */
    final SidecarHarness harness(ScriptedPeer... servers) throws Exception {
        return closeAfterTest(new SidecarHarness(folder, servers));
    }

    /** Creates a sidecar with few descriptors, so that a test can reach the connection limits. */
    final SidecarHarness harnessWithFewSockets(ScriptedPeer... servers) throws Exception {
        return closeAfterTest(new SidecarHarness(folder, 250_000, 128, servers));
    }

    /** Starts a sidecar with the given servers as its endpoints. */
    final SidecarHarness sidecar(ScriptedPeer... servers) throws Exception {
        return harness(servers).start();
    }
}
