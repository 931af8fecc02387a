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
 * Persists what discovery reports, on a thread of its own. Changes that arrive while the disk is
 * busy are merged into one, so a stalled or full disk costs bounded memory and delays no request;
 * once it takes writes again a new snapshot is written.
 *
 * <p>Owners: the worker thread alone has the {@link WriteAheadLog} and with it all files. {@code
 * pending} is handed from the reporting thread to the worker under this object's monitor. {@code
 * recovered} is completed once by the worker and read by whoever starts the sidecar.
 */
public final class SnapshotStore extends BackgroundWorker {

    /** Opens the directory, on the worker thread. */
    interface StorageOpener {
        Storage open() throws IOException;
    }

    private static final String THREAD_NAME = "persistence";

    /** Wait after a failed write, unless another change arrives sooner. */
    private static final long RETRY_MILLIS = 1_000;

    private final PersistenceSettings settings;
    private final String sidecarName;
    private final Consumer<String> logger;
    private final StorageOpener opener;
    private final CompletableFuture<EndpointSnapshot> recovered = new CompletableFuture<>();

    /** What is still to be written; null if nothing is. Guarded by this object's monitor. */
    private SnapshotChange pending;

    /**
     * Begins to open the directory, on the worker thread; never waits for a disk.
     *
     * @param sidecarName whose data it is: another sidecar's data is set aside
     * @param logger takes log lines, on any thread
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
     * Waits for what earlier incarnations have persisted, with the epoch of this one.
     *
     * @param timeoutMillis longest wait
     * @return null, and a log line, if the directory cannot be used or does not answer in time
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
     * Whether a recovered snapshot is recent enough to stand in for a list, and not only to name
     * endpoints that must not be used.
     */
    public boolean isFresh(EndpointSnapshot snapshot) {
        long ageMillis = settings.wallMillis() - snapshot.atMillis();
        return snapshot.revision() > 0 && ageMillis >= 0 && ageMillis <= settings.maxAgeMillis();
    }

    /** Unix time in milliseconds, as this sidecar takes it. */
    public long wallMillis() {
        return settings.wallMillis();
    }

    /** Takes over a change to be persisted; never waits for a disk. */
    public synchronized void persist(SnapshotChange change) {
        pending = SnapshotChange.merge(pending, change);
        notifyAll();
    }

    /**
     * Waits for the next change; after a failure only until it is time to retry.
     *
     * @return null if there is none to be written
     */
    // After a failure any wake-up, also a spurious one, may end the wait: the retry only comes
    // sooner.
    @SuppressWarnings("WaitNotInLoop")
    private synchronized SnapshotChange awaitChange(boolean failing) throws InterruptedException {
        while (pending == null && !isClosing() && !failing) {
            wait();
        }
        if (failing && !isClosing()) {
            wait(RETRY_MILLIS);
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
                            settings.forceEach(),
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
     * Writes a change, or, if the write before failed, everything. The first of several failures is
     * logged, and the first success after them.
     *
     * @param change null if there is none
     * @return whether everything up to now is written
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
