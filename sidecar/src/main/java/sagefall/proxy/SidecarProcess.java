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
 * The process of a sidecar: reads the configuration, warms up the runtime, starts the {@link
 * SidecarServer} and ends it when the platform says so.
 */
public final class SidecarProcess {

    /** Exit code of a process that has served until it was terminated. */
    private static final int EXIT_CODE_OK = 0;

    /**
     * Requests of the warm-up, and the time since the start at which it ends all the same, so that
     * a restart is ready within 10 s: with a seventh of a core it then comes to a third of them,
     * which cost the most. A limit of its own of 1.5 s left such a process cold, and its clients'
     * requests unread for a second.
     */
    private static final int WARM_UP_REQUESTS = 250;

    private static final long WARM_UP_END_MILLIS = 6_000;

    /**
     * Longest that the start waits for the persisted snapshot after the warm-up, during which it is
     * read: a stalled disk delays the start no more than this.
     */
    private static final long SNAPSHOT_TIMEOUT_MILLIS = 250;

    private final long startedAtNanos;
    private final SidecarConfig config;
    private final EventLoop loop;
    private final SidecarServer server;
    private final CountDownLatch stopped = new CountDownLatch(1);

    /**
     * Written by the main thread and closed by the shutdown hook; null while persistence is off.
     */
    private volatile SnapshotStore snapshotStore;

    /** The same; null while leader election is off or unavailable. */
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
     * @param environment the variables {@code LB_*}
     * @param log where all lines for operators go
     * @return the exit code: 2 for a wrong configuration, 1 where the sidecar could not start
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
        if (config.extensions().leaderElection().isOn()) {
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

    /** Begins to read what was persisted, beside the warm-up; null while persistence is off. */
    private SnapshotStore openSnapshotStore() {
        PersistenceSettings settings = config.extensions().persistence();
        return settings.isOn() ? new SnapshotStore(settings, config.name(), server::log) : null;
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
     * Answers what is in flight, gives the lease back and writes what is still to be persisted. On
     * the thread of the shutdown hook.
     */
    private void shutDown() {
        loop.execute(() -> server.stop(stopped::countDown));
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (leaderElection != null) {
            leaderElection.close();
        }
        if (snapshotStore != null) {
            snapshotStore.close();
        }
    }

    private long elapsedMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAtNanos);
    }
}
