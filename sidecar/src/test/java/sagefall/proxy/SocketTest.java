package sagefall.proxy;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** What tests between real sockets open, which is closed in the opposite order. */
@Timeout(60)
public abstract class SocketTest {

    @TempDir public Path folder;
    private final List<AutoCloseable> open = new ArrayList<>();

    @AfterEach
    final void closeAll() throws Exception {
        for (int i = open.size() - 1; i >= 0; i--) {
            open.get(i).close();
        }
    }

    public final <T extends AutoCloseable> T opened(T next) {
        open.add(next);
        return next;
    }

    public final ScriptedPeer server(ScriptedPeer.Script script) throws IOException {
        return opened(new ScriptedPeer(script));
    }

    /** One that has not been started. */
    final SidecarHarness harness(ScriptedPeer... servers) throws Exception {
        return opened(new SidecarHarness(folder, servers));
    }

    final SidecarHarness sidecar(ScriptedPeer... servers) throws Exception {
        return harness(servers).start();
    }
}
