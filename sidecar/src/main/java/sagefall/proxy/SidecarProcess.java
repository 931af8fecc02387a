package sagefall.proxy;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.io.PrintStream;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import sagefall.config.SidecarConfig;
import sagefall.logging.LogEvent;
import sagefall.logging.LogLine;
import sagefall.persistence.EndpointSnapshot;
import sagefall.persistence.PersistenceSettings;
import sagefall.persistence.SnapshotStore;

/**
 * Runs the process of a sidecar: reads the configuration, warms up the JVM, starts the {@link
 * SidecarServer} and stops it when the process is terminated.
 */
public final class SidecarProcess {

    /** Exit code after a shutdown that was requested by a signal. */
    private static final int EXIT_CODE_OK = 0;

    /**
     * Number of warm-up requests. With a seventh of a core, only a third of these requests complete
     * before {@link #WARM_UP_END_MILLIS}. Even so few requests are useful, because the first
     * requests cost the most CPU time.
     */
    private static final int WARM_UP_REQUESTS = 250;

    /**
     * Maximum time from the start of the process until the end of the warm-up, so that a restarted
     * sidecar is ready within 10 s. A limit of 1.5 s from the start of the warm-up was too short: a
     * process with a seventh of a core was still so cold afterwards that requests stayed unread for
     * a second.
     */
    private static final long WARM_UP_END_MILLIS = 6_000;

    /**
     * Maximum time for which the start waits for the persisted snapshot after the warm-up. The
     * snapshot is read during the warm-up. Therefore the start waits only if the disk stalls.
     */
    private static final long SNAPSHOT_TIMEOUT_MILLIS = 250;

    private final long startedAtNanos;
    private final SidecarConfig config;
    private final EventLoop loop;
    private final SidecarServer server;
    private final CountDownLatch stopped = new CountDownLatch(1);

    /**
     * The store for endpoint lists, set by the main thread and closed by the shutdown hook; null
     * while persistence is off.
     */
    private volatile SnapshotStore snapshotStore;

    /**
     * The leader election, set by the main thread and closed by the shutdown hook; null while
     * leader election is off or unavailable.
     */
    private volatile LeaderElectionService leaderElection;

    private SidecarProcess(long startedAtNanos, SidecarConfig config, PrintStream log)
            throws InterruptedException, StartupException {
        this.startedAtNanos = startedAtNanos;
        this.config = config;
        LoopLatencyClock latencyClock = new LoopLatencyClock();
        loop = latencyClock.group().next();
        try {
            server = loop.submit(() -> new SidecarServer(loop, latencyClock, config, log)).get();
        } catch (ExecutionException e) {
            throw StartupException.cannotStart(e.getCause());
        }
    }

    /**
     * Runs a sidecar until the process is terminated.
     *
     * @param environment the environment variables {@code LB_*}
     * @param log destination of all log lines
     * @return the exit code: 0 after a shutdown, 2 for an invalid configuration, 1 if the sidecar
     *     could not start
     */
    public static int run(Map<String, String> environment, PrintStream log) {
        long startedAtNanos = System.nanoTime();
        try {
            SidecarConfig config = readConfiguration(environment);
            new SidecarProcess(startedAtNanos, config, log).serve(environment, log);
            return EXIT_CODE_OK;
        } catch (StartupException e) {
            log.println(e.getMessage());
            return e.exitCode();
        } catch (InterruptedException e) {
            return StartupException.CANNOT_START;
        }
    }

    private static SidecarConfig readConfiguration(Map<String, String> environment)
            throws StartupException {
        try {
            return SidecarConfig.read(environment);
        } catch (IOException e) {
            throw StartupException.invalidConfiguration(e);
        }
    }

    private void serve(Map<String, String> environment, PrintStream log)
            throws InterruptedException, StartupException {
        ConfigurationReloader reloader = new ConfigurationReloader(server, environment, log);
        SignalHandlers signals = installSignalHandlers(reloader);
        SnapshotStore store = openSnapshotStore();
        long settingsReadMillis = elapsedMillis();
        int warmUpRequests =
                JvmWarmUp.run(
                        config,
                        WARM_UP_REQUESTS,
                        Math.max(0, WARM_UP_END_MILLIS - settingsReadMillis));
        long warmUpMillis = elapsedMillis();
        if (store != null) {
            usePersistence(store);
        }
        if (config.extensions().leaderElection().isEnabled()) {
            joinLeaderElection();
        }
        startServer(signals);
        server.log(
                LogLine.of(LogEvent.SIDECAR_STARTED)
                        .with("settings_read_ms", settingsReadMillis)
                        .with("warm_up_requests", warmUpRequests)
                        .with("warm_up_ms", warmUpMillis)
                        .with("open_ms", elapsedMillis())
                        .toString());
        stopped.await();
    }

    private SignalHandlers installSignalHandlers(ConfigurationReloader reloader)
            throws StartupException {
        try {
            return SignalHandlers.install(reloader::requestReload, this::shutDown);
        } catch (ReflectiveOperationException e) {
            throw StartupException.cannotStart(e.getCause() == null ? e : e.getCause());
        }
    }

    /**
     * Opens the store, which reads the persisted snapshot in the background.
     *
     * @return the store; null if persistence is off
     */
    private SnapshotStore openSnapshotStore() {
        PersistenceSettings settings = config.extensions().persistence();
        return settings.isEnabled()
                ? new SnapshotStore(settings, config.name(), server::log)
                : null;
    }

    private void usePersistence(SnapshotStore store) throws InterruptedException {
        EndpointSnapshot snapshot = store.awaitRecovered(SNAPSHOT_TIMEOUT_MILLIS);
        snapshotStore = store;
        loop.submit(() -> server.usePersistence(store, snapshot)).sync();
    }

    private void joinLeaderElection() throws InterruptedException {
        LeaderElectionService service =
                LeaderElectionService.start(config, new WallClock(), server::log);
        if (service != null) {
            leaderElection = service;
            loop.submit(
                            () ->
                                    server.useSharedSnapshot(
                                            service.snapshot(), service.snapshotAtStart()))
                    .sync();
        }
    }

    private void startServer(SignalHandlers signals) throws InterruptedException, StartupException {
        try {
            server.start().get();
        } catch (ExecutionException e) {
            signals.removeShutdownHook();
            throw StartupException.cannotStart(e.getCause());
        }
    }

    /**
     * Completes the requests in flight, releases the lease and writes the endpoint changes that are
     * not persisted yet. Runs on the thread of the shutdown hook.
     */
    private void shutDown() {
        long noticedAtNanos = System.nanoTime();
        loop.execute(() -> server.stop(noticedAtNanos, stopped::countDown));
        awaitStopped(server.shutdownSchedule(noticedAtNanos));
        if (leaderElection != null) {
            leaderElection.close();
        }
        if (snapshotStore != null) {
            snapshotStore.close();
        }
    }

    /**
     * Waits until the connections are closed, or until the process has to exit although the event
     * loop has not closed them.
     */
    private void awaitStopped(ShutdownSchedule schedule) {
        try {
            long timeoutNanos = ShutdownSchedule.nanosUntil(schedule.exitNanos());
            if (!stopped.await(timeoutNanos, TimeUnit.NANOSECONDS)) {
                server.log(LogLine.of(LogEvent.SHUTDOWN_STALLED).toString());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private long elapsedMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAtNanos);
    }
}
