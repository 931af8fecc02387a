package sagefall.persistence;

import java.io.IOException;

/**
 * A small file of one record that is only ever replaced completely. It is written under a temporary
 * name, forced, renamed, and the directory forced, so a power loss leaves either the old file or
 * the new one.
 */
public final class AtomicFile {

    /** What a temporary name has after the file's own; a writer's suffix may follow. */
    public static final String TEMPORARY_SUFFIX = ".next";

    private AtomicFile() {}

    /** Replaces the file; it is on the disk once this returns. For files with a single writer. */
    public static void write(Storage storage, String file, byte[] body) throws IOException {
        write(storage, file, body, "");
    }

    /**
     * Replaces a file that several processes write; it is on the disk once this returns.
     *
     * @param writerSuffix ends the temporary name; no two writers may use the same at a time
     */
    public static void write(Storage storage, String file, byte[] body, String writerSuffix)
            throws IOException {
        String temporary = file + TEMPORARY_SUFFIX + writerSuffix;
        writeTemporary(storage, temporary, body);
        storage.rename(temporary, file);
        storage.forceDirectory();
    }

    /**
     * Creates a file that does not exist yet; it is on the disk once this returns.
     *
     * @param writerSuffix ends the temporary name; no two writers may use the same at a time
     * @return false if another writer was first; then nothing has changed
     */
    public static boolean createExclusively(
            Storage storage, String file, byte[] body, String writerSuffix) throws IOException {
        String temporary = file + TEMPORARY_SUFFIX + writerSuffix;
        writeTemporary(storage, temporary, body);
        boolean created = storage.link(temporary, file);
        storage.delete(temporary);
        storage.forceDirectory();
        return created;
    }

    private static void writeTemporary(Storage storage, String temporary, byte[] body)
            throws IOException {
        try (Storage.Output out = storage.create(temporary)) {
            out.write(RecordFormat.MAGIC);
            out.write(RecordFormat.encode(body, 0));
            out.force();
        }
    }

    /**
     * Reads the file's body.
     *
     * @return null where there is no such file
     * @throws StoredDataException if the file is corrupt, of a newer format or too large
     */
    public static byte[] read(Storage storage, String file, long maxBytes) throws IOException {
        byte[] bytes = storage.read(file, maxBytes);
        return bytes == null ? null : bodyOf(file, bytes);
    }

    /** The body of a file with that content, which has to be one intact record. */
    static byte[] bodyOf(String file, byte[] bytes) throws StoredDataException {
        RecordFormat.checkMagic(file, bytes);
        byte[] body = RecordFormat.bodyAt(bytes, RecordFormat.MAGIC.length);
        if (body == null || lengthWith(body) != bytes.length) {
            throw StoredDataException.corrupt(file);
        }
        return body;
    }

    /** Length in bytes of a file with that body. */
    static long lengthWith(byte[] body) {
        return (long) RecordFormat.MAGIC.length + RecordFormat.HEADER_BYTES + body.length;
    }
}
