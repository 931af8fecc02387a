package sagefall.persistence;

import java.io.Closeable;
import java.io.IOException;
import java.util.function.Consumer;
import sagefall.logging.LogEvent;
import sagefall.logging.LogLine;

/**
 * Snapshot and write-ahead log of one sidecar's endpoint list. A snapshot is written under a
 * temporary name, forced, renamed, and the directory forced. The log that belongs to it has its
 * generation in its name, so that neither can be read with another's. Files that cannot be used
 * (corrupt, of a newer format, of another sidecar, too large) are set aside and the sidecar starts
 * without them; {@link LogReader} decides which.
 *
 * <p>Each start writes a snapshot with the next epoch, so that nothing is ever appended to the log
 * of an earlier incarnation.
 *
 * <p>Not thread-safe: the thread of {@link SnapshotStore} owns this object and all the files.
 */
final class WriteAheadLog implements Closeable {

    /** The snapshot's file. */
    static final String STATE = "state";

    /** A log's file has this and its generation. */
    static final String LOG = "log-";

    /** A file that was set aside has this before its kind. */
    static final String ASIDE = "aside-";

    private static final String ASIDE_LOG = ASIDE + "log";
    private static final String ASIDE_STATE = ASIDE + STATE;

    private final Storage storage;
    private final long maxBytes;
    private final boolean forceEach;
    private EndpointSnapshot state;

    /** Number of the snapshot on the disk, and of the log that belongs to it. */
    private long generation;

    /** The open log; null until the first change after a snapshot. */
    private Storage.Output log;

    /** Length of the open log. */
    private long writtenBytes;

    /** How much of the open log is known to be on the disk. */
    private long forcedBytes;

    /** The files may not hold all that was appended: only a snapshot may follow. */
    private boolean snapshotNeeded;

    private WriteAheadLog(Storage storage, long maxBytes, boolean forceEach) {
        this.storage = storage;
        this.maxBytes = maxBytes;
        this.forceEach = forceEach;
    }

    /**
     * Reads what is stored and begins the next epoch, which is on the disk once this returns. One
     * log line says what was left out or set aside, and why.
     *
     * @param forceEach whether each change is forced to the disk, or only snapshots are
     */
    static WriteAheadLog open(
            Storage storage,
            String sidecarName,
            long maxBytes,
            boolean forceEach,
            Consumer<String> logger)
            throws IOException {
        WriteAheadLog log = new WriteAheadLog(storage, maxBytes, forceEach);
        LogReader reader = new LogReader(storage, maxBytes);
        EndpointSnapshot recovered;
        try {
            recovered = reader.read(sidecarName);
            logDiscardedTail(reader.discardedBytes(), logger);
        } catch (StoredDataException e) {
            log.setAside();
            logSetAside(e, logger);
            // An epoch that could be read goes on; the reader takes none from another's file.
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

    /** The snapshot with all changes that were appended. */
    EndpointSnapshot state() {
        return state;
    }

    /**
     * Applies a change to {@link #state} and writes it: to the log, or as a snapshot if the log
     * would become too long, is gone, or may be damaged. With {@code forceEach} it is on the disk
     * once this returns.
     *
     * @throws IOException if it could not be written; {@link #state} has it all the same, and the
     *     next call writes a snapshot
     */
    void append(SnapshotChange change) throws IOException {
        state = state.with(change);
        byte[] body = EndpointSnapshotCodec.encode(change);
        if (snapshotNeeded || logIsGone() || logWouldBeTooLong(body)) {
            writeSnapshot();
            return;
        }
        snapshotNeeded = true;
        if (log == null) {
            createLog();
        }
        log.write(RecordFormat.encode(body, forcedBytes));
        writtenBytes += RecordFormat.HEADER_BYTES + body.length;
        if (forceEach) {
            log.force();
            forcedBytes = writtenBytes;
        }
        snapshotNeeded = false;
    }

    /** Writing to an open file would not show that it was deleted or its directory moved. */
    private boolean logIsGone() {
        return log != null && !storage.exists(logFile());
    }

    /** The log may take half of the bound, a snapshot the other half. */
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

    /** Writes all of {@link #state} as a new snapshot and ends the log; on the disk on return. */
    void writeSnapshot() throws IOException {
        byte[] body = EndpointSnapshotCodec.encode(state, generation + 1);
        long length = AtomicFile.lengthWith(body);
        if (length > maxBytes) {
            throw StoredDataException.tooLarge(STATE, length, maxBytes);
        }
        snapshotNeeded = true;
        closeLog();
        AtomicFile.write(storage, STATE, body);
        generation++;
        writtenBytes = 0;
        forcedBytes = 0;
        snapshotNeeded = false;
        deleteOldLogs();
    }

    private void deleteOldLogs() throws IOException {
        for (String file : storage.list()) {
            if (file.startsWith(LOG) && !file.equals(logFile())) {
                storage.delete(file);
            }
        }
    }

    private String logFile() {
        return LOG + generation;
    }

    private void closeLog() throws IOException {
        Storage.Output open = log;
        log = null;
        if (open != null) {
            open.close();
        }
    }

    /** The files that were set aside last stay there for whoever looks into it. */
    private void setAside() throws IOException {
        for (String file : storage.list()) {
            if (file.equals(STATE)) {
                storage.rename(file, ASIDE_STATE);
            } else if (file.startsWith(LOG)) {
                storage.rename(file, ASIDE_LOG);
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
