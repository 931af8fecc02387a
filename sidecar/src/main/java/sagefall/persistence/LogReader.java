package sagefall.persistence;

import java.io.IOException;
import java.util.regex.Pattern;

/**
 * Reads what earlier incarnations have written: the snapshot, and the log of its generation on top
 * of it. One object reads once; what it found out on the way is known even if reading fails.
 *
 * <p>A bad record that a later intact one says was forced before is damage. Any other is a tail
 * that a power loss tore, and is left out.
 */
final class LogReader {

    private static final Pattern LOG_NAME = Pattern.compile(WriteAheadLog.LOG + "[0-9]{1,18}");

    /** Bytes that are summed at most in the search for a record behind a bad one. */
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

    /** The greatest generation of any file found; 0 if there is none. */
    long newestGeneration() {
        return newestGeneration;
    }

    /** The epoch of this sidecar's snapshot; 0 if there is none or it cannot be read. */
    long epoch() {
        return epoch;
    }

    /** Length of the torn tail that was left out. */
    long discardedBytes() {
        return discardedBytes;
    }

    /**
     * Reads snapshot and log.
     *
     * @return an empty snapshot where nothing is stored
     * @throws StoredDataException if what is stored cannot be used
     * @throws IOException if the directory cannot be listed
     */
    EndpointSnapshot read(String sidecarName) throws IOException {
        newestGeneration = newestLogGeneration();
        byte[] bytes = readFile(WriteAheadLog.STATE);
        if (bytes == null) {
            return EndpointSnapshot.empty(sidecarName);
        }
        byte[] body = AtomicFile.bodyOf(WriteAheadLog.STATE, bytes);
        EndpointSnapshotCodec.StoredSnapshot stored =
                EndpointSnapshotCodec.decodeStored(WriteAheadLog.STATE, body);
        EndpointSnapshot snapshot = stored.snapshot();
        if (!snapshot.name().equals(sidecarName)) {
            throw StoredDataException.foreign(WriteAheadLog.STATE, snapshot.name());
        }
        newestGeneration = Math.max(newestGeneration, stored.generation());
        epoch = snapshot.epoch();
        return applyLog(snapshot, WriteAheadLog.LOG + stored.generation());
    }

    private long newestLogGeneration() throws IOException {
        long newest = 0;
        for (String file : storage.list()) {
            if (LOG_NAME.matcher(file).matches()) {
                long generation = Long.parseLong(file.substring(WriteAheadLog.LOG.length()));
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
            // No record yet, so these bytes may not have been forced either.
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
     * Whether any intact record behind the bad one says that the file had been forced past the bad
     * one's beginning. Bytes made to look like many records would take for ever to check: past a
     * bound they count as damage.
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
