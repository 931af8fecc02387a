package sagefall.proxy;

import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.io.PrintStream;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import sagefall.config.SidecarConfig;

/**
 * Reloads the configuration of a running sidecar, off the event loop. Discovery's address in the
 * file goes before what the environment said at the start. A file that is wrong anywhere changes
 * nothing: the old configuration stays.
 */
final class ConfigurationReloader {

    private final SidecarServer server;
    private final Map<String, String> environment;
    private final PrintStream log;

    /** One thread, so that the last file read is the last one applied. */
    private final ExecutorService readerThread =
            Executors.newSingleThreadExecutor(
                    new DefaultThreadFactory("configuration-reload", true));

    ConfigurationReloader(SidecarServer server, Map<String, String> environment, PrintStream log) {
        this.server = server;
        this.environment = environment;
        this.log = log;
    }

    /** Reloads soon, after the reloads that were requested before; any thread. */
    void requestReload() {
        readerThread.execute(this::reload);
    }

    /**
     * Reads the files and hands them to the sidecar, or writes one line that says what is wrong
     * with them. Blocks for the files; not for the event loop.
     */
    void reload() {
        try {
            server.reconfigure(SidecarConfig.reread(environment));
        } catch (IOException | RuntimeException e) {
            // Whatever is wrong with a file must not end a process that serves; lost is the reload.
            log.println(
                    StartupException.configurationErrorLine(e) + "; the old configuration stays");
        }
    }
}
