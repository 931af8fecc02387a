package sagefall.persistence;

import java.io.IOException;
import java.util.regex.Pattern;

/**
 * Reads the state that earlier incarnations have written: the snapshot, and the changes in the log
 * of its generation. {@link #read} may be called once. If {@link #read} fails, the accessors return
 * the values found before the failure.
 *
 * <p>A bad record has one of two causes. If a later intact record states that the file had been
 * forced beyond the start of the bad record, the log is corrupt. Otherwise a power loss has torn
 * the tail of the log. The tail starts with the bad record and is discarded.
 */
final class LogReader {

    private static final Pattern LOG_NAME =
            Pattern.compile(WriteAheadLog.LOG_PREFIX + "[0-9]{1,18}");

    /** Maximum number of bytes checksummed in the search for an intact record after a bad one. */
    private static final long MAX_CHECKSUMMED_BYTES = 64 * 1024 * 1024;

    private static final int FIRST_RECORD_OFFSET = RecordFormat.MAGIC.length;

    private final Storage storage;
    private final long maxBytes;
    private long newestGeneration;
    private long epoch;
    private long discardedBytes;

    LogReader(Storage storage, long maxBytes) {
        this.storage = storage;
        this.maxBytes = maxBytes;
    }

    /** Returns the greatest generation of the stored files; 0 if there are no files. */
    long newestGeneration() {
        return newestGeneration;
    }

    /** Returns the epoch of this sidecar's snapshot; 0 if the snapshot is missing or unusable. */
    long epoch() {
        return epoch;
    }

    /** Returns the length in bytes of the discarded tail of the log. */
    long discardedBytes() {
        return discardedBytes;
    }

    /**
     * Reads the snapshot and the log.
     *
     * @return the recovered snapshot; an empty snapshot if none is stored
     * @throws StoredDataException if the stored data cannot be used
     * @throws IOException if the directory cannot be listed
     */
    EndpointSnapshot read(String sidecarName) throws IOException {
        newestGeneration = newestLogGeneration();
        byte[] bytes = readFile(WriteAheadLog.SNAPSHOT_FILE);
        if (bytes == null) {
            return EndpointSnapshot.empty(sidecarName);
        }
        byte[] body = AtomicFile.bodyOf(WriteAheadLog.SNAPSHOT_FILE, bytes);
        EndpointSnapshotCodec.StoredSnapshot stored =
                EndpointSnapshotCodec.decodeStored(WriteAheadLog.SNAPSHOT_FILE, body);
        EndpointSnapshot snapshot = stored.snapshot();
        if (!snapshot.name().equals(sidecarName)) {
            throw StoredDataException.foreign(WriteAheadLog.SNAPSHOT_FILE, snapshot.name());
        }
        newestGeneration = Math.max(newestGeneration, stored.generation());
        epoch = snapshot.epoch();
        return applyLog(snapshot, WriteAheadLog.LOG_PREFIX + stored.generation());
    }

    private long newestLogGeneration() throws IOException {
        long newest = 0;
        for (String file : storage.list()) {
            if (LOG_NAME.matcher(file).matches()) {
                long generation = Long.parseLong(file.substring(WriteAheadLog.LOG_PREFIX.length()));
                newest = Math.max(newest, generation);
            }
        }
        return newest;
    }

    private byte[] readFile(String file) throws StoredDataException {
        try {
            return storage.read(file, maxBytes);
        } catch (StoredDataException e) {
            throw e;
        } catch (IOException e) {
            throw StoredDataException.unreadable(file, e);
        }
    }

    private EndpointSnapshot applyLog(EndpointSnapshot snapshot, String file)
            throws StoredDataException {
        byte[] bytes = readFile(file);
        if (bytes == null) {
            return snapshot;
        }
        if (bytes.length <= FIRST_RECORD_OFFSET) {
            // The log has no record yet, so a power loss may have truncated its magic bytes.
            discardedBytes = bytes.length < FIRST_RECORD_OFFSET ? bytes.length : 0;
            return snapshot;
        }
        RecordFormat.checkMagic(file, bytes);
        EndpointSnapshot current = snapshot;
        int offset = FIRST_RECORD_OFFSET;
        byte[] body = RecordFormat.bodyAt(bytes, offset);
        while (body != null) {
            current = current.with(EndpointSnapshotCodec.decodeChange(file, body));
            offset += RecordFormat.HEADER_BYTES + body.length;
            body = RecordFormat.bodyAt(bytes, offset);
        }
        if (offset < bytes.length && wasForcedBeyond(bytes, offset)) {
            throw StoredDataException.corruptAt(file, offset);
        }
        discardedBytes = (long) bytes.length - offset;
        return current;
    }

    /**
     * Returns whether an intact record after the bad one states that the file had been forced
     * beyond the start of the bad one. The search is bounded, because bytes may look like the
     * headers of many records. Computing the checksums of all these records would take too long. If
     * the bound is reached, the method returns true, so the file is treated as corrupt.
     */
    private static boolean wasForcedBeyond(byte[] bytes, int badOffset) {
        long budget = MAX_CHECKSUMMED_BYTES;
        int lastOffset = bytes.length - RecordFormat.HEADER_BYTES;
        for (int offset = badOffset + 1; offset <= lastOffset && budget > 0; offset++) {
            int bodyLength = RecordFormat.bodyLengthAt(bytes, offset);
            boolean mayBeRecord = bodyLength > 0 && bodyLength <= lastOffset - offset;
            if (mayBeRecord && RecordFormat.forcedBytesAt(bytes, offset) > badOffset) {
                budget -= bodyLength;
                if (RecordFormat.bodyAt(bytes, offset) != null) {
                    return true;
                }
            }
        }
        return budget <= 0;
    }
}
