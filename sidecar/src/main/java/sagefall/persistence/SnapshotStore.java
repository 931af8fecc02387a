package sagefall.persistence;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import sagefall.logging.LogEvent;
import sagefall.logging.LogLine;

/**
 * Persists the endpoint list that discovery reports, on a separate thread. Changes that arrive
 * while the disk is busy are merged into one change, so a stalled or full disk costs bounded memory
 * and delays no request. The first successful write after a failure writes a new snapshot.
 *
 * <p>Only the worker thread uses the {@link WriteAheadLog} and its files. {@code pending} is passed
 * from the reporting thread to the worker under this object's monitor. {@code recovered} is
 * completed once by the worker and read by the thread that starts the sidecar.
 */
public final class SnapshotStore extends BackgroundWorker {

    /** Opens the storage. */
    interface StorageOpener {
        /** Opens the storage; called on the worker thread. */
        Storage open() throws IOException;
    }

    private static final String THREAD_NAME = "persistence";

    /**
     * Delay in milliseconds before a failed write is retried. A new change causes an earlier retry.
     */
    private static final long RETRY_DELAY_MILLIS = 1_000;

    private final PersistenceSettings settings;
    private final String sidecarName;
    private final Consumer<String> logger;
    private final StorageOpener opener;
    private final CompletableFuture<EndpointSnapshot> recovered = new CompletableFuture<>();

    /** Change that is not yet written; null if there is none. Guarded by this object's monitor. */
    private SnapshotChange pending;

    /**
     * Starts the worker thread, which opens the directory. Does not wait for the disk.
     *
     * @param sidecarName name of this sidecar; stored data of another sidecar is set aside
     * @param logger receives log lines, on any thread
     */
    public SnapshotStore(
            PersistenceSettings settings, String sidecarName, Consumer<String> logger) {
        this(
                settings,
                sidecarName,
                logger,
                () -> DirectoryStorage.openExclusive(settings.directory()));
    }

    SnapshotStore(
            PersistenceSettings settings,
            String sidecarName,
            Consumer<String> logger,
            StorageOpener opener) {
        super(THREAD_NAME);
        this.settings = settings;
        this.sidecarName = sidecarName;
        this.logger = logger;
        this.opener = opener;
        start();
    }

    /**
     * Waits for the snapshot that earlier incarnations have persisted and returns it with the epoch
     * of this incarnation.
     *
     * @param timeoutMillis maximum duration of the wait
     * @return the snapshot; null if the directory cannot be used or has not been read in time. Both
     *     failures are logged
     */
    public EndpointSnapshot awaitRecovered(long timeoutMillis) throws InterruptedException {
        try {
            return recovered.get(timeoutMillis, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            log(
                    LogLine.of(LogEvent.PERSISTENCE_UNAVAILABLE)
                            .with("reason", "timeout")
                            .with("timeout_ms", timeoutMillis));
            return null;
        } catch (ExecutionException e) {
            log(errorLine(LogEvent.PERSISTENCE_UNAVAILABLE, e.getCause()));
            return null;
        }
    }

    /**
     * Returns whether a recovered snapshot is recent enough to be used as an endpoint list. An
     * older snapshot is used only to exclude its draining and removed endpoints from lists with a
     * lower revision.
     */
    public boolean isFresh(EndpointSnapshot snapshot) {
        long ageMillis = settings.wallMillis() - snapshot.reportedAtMillis();
        return snapshot.revision() > 0 && ageMillis >= 0 && ageMillis <= settings.maxAgeMillis();
    }

    /** Returns the Unix time in milliseconds, including the configured offset. */
    public long wallMillis() {
        return settings.wallMillis();
    }

    /** Passes a change to the worker thread to be persisted. Does not wait for the disk. */
    public synchronized void persist(SnapshotChange change) {
        pending = SnapshotChange.merge(pending, change);
        notifyAll();
    }

    /**
     * Waits for a change and returns the pending changes merged into one. After a failed write,
     * waits until another change arrives or the retry is due, even if a change is already pending.
     *
     * @param failing whether the last write failed
     * @return null if there is no change to write
     */
    // After a failed write, a spurious wake-up only makes the retry earlier.
    @SuppressWarnings("WaitNotInLoop")
    private synchronized SnapshotChange awaitChange(boolean failing) throws InterruptedException {
        while (pending == null && !isClosing() && !failing) {
            wait();
        }
        if (failing && !isClosing()) {
            wait(RETRY_DELAY_MILLIS);
        }
        SnapshotChange change = pending;
        pending = null;
        return change;
    }

    private synchronized boolean isDone() {
        return isClosing() && pending == null;
    }

    @Override
    protected void run() {
        WriteAheadLog writeAheadLog;
        try {
            writeAheadLog =
                    WriteAheadLog.open(
                            opener.open(),
                            sidecarName,
                            settings.maxBytes(),
                            settings.forceEachChange(),
                            logger);
        } catch (IOException | RuntimeException e) {
            recovered.completeExceptionally(e);
            return;
        }
        recovered.complete(writeAheadLog.state());
        try {
            writeUntilDone(writeAheadLog);
        } catch (InterruptedException | IOException | RuntimeException e) {
            log(errorLine(LogEvent.PERSISTENCE_STOPPED, e));
        }
    }

    private void writeUntilDone(WriteAheadLog writeAheadLog)
            throws InterruptedException, IOException {
        boolean failing = false;
        while (!isDone()) {
            SnapshotChange change = awaitChange(failing);
            failing = !tryWrite(writeAheadLog, change, failing);
        }
        if (!failing) {
            writeAheadLog.close();
        }
    }

    /**
     * Writes a change. If there is no change and the last write failed, writes the whole snapshot.
     * Logs the first of several successive failures and the first success after them.
     *
     * @param change change to write; null if there is none
     * @param failedBefore whether the last write failed
     * @return whether all changes up to now are written
     */
    private boolean tryWrite(
            WriteAheadLog writeAheadLog, SnapshotChange change, boolean failedBefore) {
        try {
            if (change != null) {
                writeAheadLog.append(change);
            } else if (failedBefore) {
                writeAheadLog.writeSnapshot();
            }
        } catch (IOException e) {
            if (!failedBefore) {
                log(errorLine(LogEvent.PERSISTENCE_WRITE_FAILED, e));
            }
            return false;
        }
        if (failedBefore) {
            log(LogLine.of(LogEvent.PERSISTENCE_RESUMED));
        }
        return true;
    }

    private static LogLine errorLine(LogEvent event, Throwable error) {
        String message = error.getMessage();
        return LogLine.of(event)
                .with("reason", StoredDataException.logReason(error))
                .with("error", message == null ? error : message);
    }

    private void log(LogLine line) {
        logger.accept(line.toString());
    }
}
