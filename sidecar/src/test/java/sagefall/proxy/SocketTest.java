package sagefall.proxy;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A test between real sockets. What it has opened is closed after it, the last first. */
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

    /** Closes this after the test; gives it back. */
    public final <T extends AutoCloseable> T opened(T next) {
        open.add(next);
        return next;
    }

    /** A new server or discovery. */
    public final ScriptedPeer server(ScriptedPeer.Script script) throws IOException {
        return opened(new ScriptedPeer(script));
    }

    /** A sidecar that knows these servers and has not been started. */
    final SidecarHarness harness(ScriptedPeer... servers) throws Exception {
        return opened(new SidecarHarness(folder, servers));
    }

    /** The same of few descriptors, so that a test comes to the limits of connections. */
    final SidecarHarness harnessOfFewSockets(ScriptedPeer... servers) throws Exception {
        return opened(new SidecarHarness(folder, 250_000, 128, servers));
    }

    /** A sidecar that knows these servers and listens. */
    final SidecarHarness sidecar(ScriptedPeer... servers) throws Exception {
        return harness(servers).start();
    }
}
