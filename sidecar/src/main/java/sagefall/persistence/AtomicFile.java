package sagefall.persistence;

import java.io.IOException;

/**
 * Reads and atomically replaces small files of one record each. The new content is written to a
 * temporary file and forced to the disk. Then the temporary file is renamed and the directory is
 * forced. A power loss therefore leaves either the old content or the new content.
 */
public final class AtomicFile {

    /** Suffix of a temporary file's name. The suffix of a writer may follow. */
    public static final String TEMPORARY_SUFFIX = ".next";

    private AtomicFile() {}

    /**
     * Replaces a file that only one process writes. The new content is durable once this method
     * returns.
     */
    public static void write(Storage storage, String file, byte[] body) throws IOException {
        write(storage, file, body, "");
    }

    /**
     * Replaces a file that several processes write. The new content is durable once this method
     * returns.
     *
     * @param writerSuffix suffix of the temporary name; must differ between concurrent writers
     */
    public static void write(Storage storage, String file, byte[] body, String writerSuffix)
            throws IOException {
        String temporary = file + TEMPORARY_SUFFIX + writerSuffix;
        writeTemporary(storage, temporary, body);
        storage.rename(temporary, file);
        storage.forceDirectory();
    }

    /**
     * Creates a file unless the file already exists. The file is durable once this method returns.
     *
     * @param writerSuffix suffix of the temporary name; must differ between concurrent writers
     * @return false if the file already existed; its content is then unchanged
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
     * Reads the body of a file.
     *
     * @return the body; null if the file does not exist
     * @throws StoredDataException if the file is corrupt, has an unknown format version or is too
     *     large
     */
    public static byte[] read(Storage storage, String file, long maxBytes) throws IOException {
        byte[] bytes = storage.read(file, maxBytes);
        return bytes == null ? null : bodyOf(file, bytes);
    }

    /**
     * Returns the body of a file with the given content. The content must be exactly one intact
     * record.
     */
    static byte[] bodyOf(String file, byte[] bytes) throws StoredDataException {
        RecordFormat.checkMagic(file, bytes);
        byte[] body = RecordFormat.bodyAt(bytes, RecordFormat.MAGIC.length);
        if (body == null || fileLength(body) != bytes.length) {
            throw StoredDataException.corrupt(file);
        }
        return body;
    }

    /** Returns the length in bytes of a file with the given body. */
    static long fileLength(byte[] body) {
        return (long) RecordFormat.MAGIC.length + RecordFormat.HEADER_BYTES + body.length;
    }
}
