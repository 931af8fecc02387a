package sagefall.persistence;

import java.io.Closeable;
import java.io.IOException;
import java.util.function.Consumer;
import sagefall.logging.LogEvent;
import sagefall.logging.LogLine;

/**
 * Writes the snapshot and the write-ahead log of one sidecar's endpoint list. {@link AtomicFile}
 * replaces the snapshot. The name of a log contains the generation of its snapshot, so a snapshot
 * is never combined with the log of another snapshot. {@link LogReader} detects files that cannot
 * be used: files that are corrupt or too large, have a newer format or belong to another sidecar.
 * Such files are set aside, and the sidecar starts without them.
 *
 * <p>Each start writes a snapshot with the next epoch, so no incarnation appends to the log of an
 * earlier one.
 *
 * <p>Not thread-safe; used only by the thread of {@link SnapshotStore}.
 */
final class WriteAheadLog implements Closeable {

    /** Name of the snapshot file. */
    static final String SNAPSHOT_FILE = "state";

    /** Prefix of a log's file name; the generation follows. */
    static final String LOG_PREFIX = "log-";

    /** Prefix of the name of a file that was set aside. */
    static final String SET_ASIDE_PREFIX = "aside-";

    private static final String SET_ASIDE_LOG = SET_ASIDE_PREFIX + "log";
    private static final String SET_ASIDE_SNAPSHOT = SET_ASIDE_PREFIX + SNAPSHOT_FILE;

    private final Storage storage;
    private final long maxBytes;
    private final boolean forceEachChange;

    /** The snapshot including all appended changes. */
    private EndpointSnapshot state;

    /** Generation of the snapshot on the disk and of the snapshot's log. */
    private long generation;

    /** The open log; null if no change has been appended since the last snapshot. */
    private Storage.Output log;

    /** Length of the open log in bytes. */
    private long writtenBytes;

    /** Number of bytes of the open log that have been forced to the disk. */
    private long forcedBytes;

    /**
     * Whether the files may lack an appended change. If true, the next write must be a snapshot.
     */
    private boolean snapshotNeeded;

    private WriteAheadLog(Storage storage, long maxBytes, boolean forceEachChange) {
        this.storage = storage;
        this.maxBytes = maxBytes;
        this.forceEachChange = forceEachChange;
    }

    /**
     * Reads the stored state and starts the next epoch. The epoch is durable once this method
     * returns. Logs one line if a torn log tail was discarded or files were set aside.
     *
     * @param forceEachChange whether each change is forced to the disk; if false, only snapshots
     *     are forced
     */
    static WriteAheadLog open(
            Storage storage,
            String sidecarName,
            long maxBytes,
            boolean forceEachChange,
            Consumer<String> logger)
            throws IOException {
        WriteAheadLog log = new WriteAheadLog(storage, maxBytes, forceEachChange);
        LogReader reader = new LogReader(storage, maxBytes);
        EndpointSnapshot recovered;
        try {
            recovered = reader.read(sidecarName);
            logDiscardedTail(reader.discardedBytes(), logger);
        } catch (StoredDataException e) {
            log.setFilesAside();
            logSetAside(e, logger);
            // If the stored epoch could be read, the epochs continue from the stored epoch. If it
            // could not be read or belongs to another sidecar, the reader returns 0, and the next
            // epoch is 1.
            recovered = EndpointSnapshot.withEpoch(sidecarName, reader.epoch());
        }
        log.generation = reader.newestGeneration();
        log.state = recovered.withNextEpoch();
        log.writeSnapshot();
        return log;
    }

    private static void logDiscardedTail(long discardedBytes, Consumer<String> logger) {
        if (discardedBytes > 0) {
            logger.accept(
                    LogLine.of(LogEvent.LOG_TAIL_DISCARDED)
                            .with("bytes", discardedBytes)
                            .toString());
        }
    }

    private static void logSetAside(StoredDataException error, Consumer<String> logger) {
        logger.accept(
                LogLine.of(LogEvent.SNAPSHOT_SET_ASIDE)
                        .with("file", error.file())
                        .with("reason", error.reason().logName())
                        .with("error", error.getMessage())
                        .toString());
    }

    /** Returns the snapshot including all appended changes. */
    EndpointSnapshot state() {
        return state;
    }

    /**
     * Applies a change to {@link #state} and appends it to the log. If the log would become too
     * long, has been deleted, or may be incomplete, writes a snapshot instead. With {@code
     * forceEachChange} the change is durable once this method returns.
     *
     * @throws IOException if the change could not be written. {@link #state} nevertheless includes
     *     the change, and the next call writes a snapshot
     */
    void append(SnapshotChange change) throws IOException {
        state = state.with(change);
        byte[] body = EndpointSnapshotCodec.encode(change);
        if (snapshotNeeded || logFileIsMissing() || logWouldBeTooLong(body)) {
            writeSnapshot();
            return;
        }
        snapshotNeeded = true;
        if (log == null) {
            createLog();
        }
        log.write(RecordFormat.encode(body, forcedBytes));
        writtenBytes += RecordFormat.HEADER_BYTES + body.length;
        if (forceEachChange) {
            log.force();
            forcedBytes = writtenBytes;
        }
        snapshotNeeded = false;
    }

    /**
     * Returns whether the file of the open log no longer exists. Writing to the open file would
     * still succeed if the file was deleted or its directory moved.
     */
    private boolean logFileIsMissing() {
        return log != null && !storage.exists(logFile());
    }

    /**
     * Returns whether appending a record with the given body would make the open log longer than
     * half of {@code maxBytes}. The other half is left for the snapshot. Returns false if no log is
     * open.
     */
    private boolean logWouldBeTooLong(byte[] body) {
        long length = writtenBytes + RecordFormat.HEADER_BYTES + body.length;
        return log != null && length > maxBytes / 2;
    }

    private void createLog() throws IOException {
        log = storage.create(logFile());
        log.write(RecordFormat.MAGIC);
        log.force();
        storage.forceDirectory();
        writtenBytes = RecordFormat.MAGIC.length;
        forcedBytes = writtenBytes;
    }

    /**
     * Writes {@link #state} as a new snapshot and closes the log. The snapshot is durable once this
     * method returns.
     */
    void writeSnapshot() throws IOException {
        byte[] body = EndpointSnapshotCodec.encode(state, generation + 1);
        long length = AtomicFile.fileLength(body);
        if (length > maxBytes) {
            throw StoredDataException.tooLarge(SNAPSHOT_FILE, length, maxBytes);
        }
        snapshotNeeded = true;
        closeLog();
        AtomicFile.write(storage, SNAPSHOT_FILE, body);
        generation++;
        writtenBytes = 0;
        forcedBytes = 0;
        snapshotNeeded = false;
        deleteOldLogs();
    }

    private void deleteOldLogs() throws IOException {
        for (String file : storage.list()) {
            if (file.startsWith(LOG_PREFIX) && !file.equals(logFile())) {
                storage.delete(file);
            }
        }
    }

    private String logFile() {
        return LOG_PREFIX + generation;
    }

    private void closeLog() throws IOException {
        Storage.Output openLog = log;
        log = null;
        if (openLog != null) {
            openLog.close();
        }
    }

    /**
     * Renames the snapshot and the logs to keep them for analysis. The renamed files replace files
     * that were set aside earlier.
     */
    private void setFilesAside() throws IOException {
        for (String file : storage.list()) {
            if (file.equals(SNAPSHOT_FILE)) {
                storage.rename(file, SET_ASIDE_SNAPSHOT);
            } else if (file.startsWith(LOG_PREFIX)) {
                storage.rename(file, SET_ASIDE_LOG);
            }
        }
        storage.forceDirectory();
    }

    @Override
    public void close() throws IOException {
        closeLog();
        storage.close();
    }
}
