package sagefall.proxy;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import sagefall.config.SidecarConfig;
import sagefall.leaderelection.DirectoryLeaseStore;
import sagefall.leaderelection.LeaderElectionSettings;
import sagefall.leaderelection.LeaderElector;
import sagefall.leaderelection.LeaseStore;
import sagefall.leaderelection.PublishedSnapshot;
import sagefall.leaderelection.SharedEndpointSnapshot;
import sagefall.logging.LogEvent;
import sagefall.logging.LogLine;

/**
 * Takes part in the leader election among the sidecars of a machine. The leader writes the endpoint
 * snapshot that all of these sidecars share. The election runs on a thread of its own; no request
 * waits for the election.
 */
final class LeaderElectionService implements AutoCloseable {

    /** Maximum time for which the start waits for the lease directory, in case the disk stalls. */
    private static final long OPEN_TIMEOUT_MILLIS = 250;

    private final PublishedSnapshot snapshotAtStart;
    private final SharedEndpointSnapshot snapshot;
    private final LeaderElector elector;

    private LeaderElectionService(
            PublishedSnapshot snapshotAtStart,
            SharedEndpointSnapshot snapshot,
            LeaderElector elector) {
        this.snapshotAtStart = snapshotAtStart;
        this.snapshot = snapshot;
        this.elector = elector;
    }

    /** An open lease store and its snapshot. The snapshot is null if none could be read. */
    private record OpenedStore(LeaseStore store, PublishedSnapshot snapshot) {}

    /**
     * Reads the shared snapshot and becomes a candidate. Blocks for a bounded time, so it must not
     * be called on the event loop.
     *
     * @return the service; null if the lease directory cannot be used; this failure is logged
     */
    static LeaderElectionService start(SidecarConfig config, WallClock clock, Consumer<String> log)
            throws InterruptedException {
        LeaderElectionSettings settings = config.extensions().leaderElection();
        OpenedStore opened;
        try {
            opened =
                    CompletableFuture.supplyAsync(() -> open(settings, log))
                            .get(OPEN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException e) {
            logUnavailable(StartupException.oneLine(e), log);
            return null;
        } catch (TimeoutException e) {
            logUnavailable(
                    "lease directory not available within " + OPEN_TIMEOUT_MILLIS + " ms", log);
            return null;
        }
        SharedEndpointSnapshot snapshot = new SharedEndpointSnapshot();
        LeaderElector elector =
                new LeaderElector(
                        opened.store,
                        candidateName(config, clock),
                        snapshot,
                        settings.leaseMillis(),
                        config.settings().seed() ^ config.settings().rank(),
                        log);
        return new LeaderElectionService(opened.snapshot, snapshot, elector);
    }

    private static void logUnavailable(String reason, Consumer<String> log) {
        log.accept(
                LogLine.of(LogEvent.LEADER_ELECTION_UNAVAILABLE).with("reason", reason).toString());
    }

    private static OpenedStore open(LeaderElectionSettings settings, Consumer<String> log) {
        try {
            LeaseStore store = new DirectoryLeaseStore(settings.directory());
            return new OpenedStore(store, readSnapshot(store, log));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static PublishedSnapshot readSnapshot(LeaseStore store, Consumer<String> log) {
        try {
            return SharedEndpointSnapshot.read(store);
        } catch (IOException e) {
            log.accept(
                    LogLine.of(LogEvent.SHARED_SNAPSHOT_IGNORED)
                            .with("reason", StartupException.oneLine(e))
                            .toString());
            return null;
        }
    }

    /** Builds a unique name from the sidecar's name, the process id and the current time. */
    private static String candidateName(SidecarConfig config, WallClock clock) {
        return config.name() + "#" + ProcessHandle.current().pid() + "#" + clock.micros();
    }

    /** Returns the shared snapshot that was read at the start, or null if there was none. */
    PublishedSnapshot snapshotAtStart() {
        return snapshotAtStart;
    }

    /** Returns the shared snapshot, which this process writes while it is the leader. */
    SharedEndpointSnapshot snapshot() {
        return snapshot;
    }

    /**
     * Releases the lease if this process holds it. Blocks for a bounded time; may be called on any
     * thread.
     */
    @Override
    public void close() {
        elector.close();
    }
}
