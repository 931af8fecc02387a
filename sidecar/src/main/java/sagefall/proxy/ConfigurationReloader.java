package sagefall.proxy;

import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.io.PrintStream;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import sagefall.config.SidecarConfig;

/**
 * Reloads the configuration of a running sidecar, off the event loop. On a reload, discovery's
 * address in the configuration file takes precedence over discovery's address in the environment.
 * If any file is invalid, the current configuration stays in force as a whole.
 */
final class ConfigurationReloader {

    private final SidecarServer server;
    private final Map<String, String> environment;
    private final PrintStream log;

    /**
     * Executor with one thread, so that configurations are applied in the order in which they are
     * read.
     */
    private final ExecutorService readerThread =
            Executors.newSingleThreadExecutor(
                    new DefaultThreadFactory("configuration-reload", true));

    ConfigurationReloader(SidecarServer server, Map<String, String> environment, PrintStream log) {
        this.server = server;
        this.environment = environment;
        this.log = log;
    }

    /**
     * Schedules a reload, which runs after all reloads that were requested earlier. May be called
     * on any thread.
     */
    void requestReload() {
        readerThread.execute(this::reload);
    }

    /**
     * Reads the files and applies them to the sidecar. If a file is invalid, logs one line that
     * says what is invalid and applies nothing. Blocks on file access, so it must not be called on
     * the event loop.
     */
    void reload() {
        try {
            server.reconfigure(SidecarConfig.reload(environment));
        } catch (IOException | RuntimeException e) {
            // An invalid file must not end a serving process; only the reload is skipped.
            log.println(
                    StartupException.configurationErrorLine(e) + "; the old configuration stays");
        }
    }
}
