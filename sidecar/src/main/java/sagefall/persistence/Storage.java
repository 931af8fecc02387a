package sagefall.persistence;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;

/**
 * Provides the file operations in one directory that persistence and leader election need. Tests
 * implement this interface to simulate a power loss at each call. The content of a file is durable
 * only after the file has been forced. The name of a file is durable only after the directory has
 * been forced. Not thread-safe.
 */
public interface Storage extends Closeable {

    /** Writes a file from its start. */
    interface Output extends Closeable {

        /**
         * Appends all the bytes.
         *
         * @throws StoredDataException with {@code FULL} if the file system has no space left
         */
        void write(byte[] bytes) throws IOException;

        /** Forces all written bytes to the disk. The bytes are durable once this method returns. */
        void force() throws IOException;
    }

    /** Returns the names of the files in the directory. */
    List<String> list() throws IOException;

    /**
     * Returns whether a file exists. Used to detect that an open file has been deleted: writing
     * cannot detect this, because writing to a deleted file still succeeds.
     */
    boolean exists(String file);

    /**
     * Returns the content of a file.
     *
     * @return the content; null if the file does not exist
     * @throws StoredDataException with {@code TOO_LARGE} if the file is longer than {@code
     *     maxBytes}
     */
    byte[] read(String file, long maxBytes) throws IOException;

    /** Creates a file, or truncates an existing one, and opens it for writing. */
    Output create(String file) throws IOException;

    /** Renames a file atomically, replacing any file that has the new name. */
    void rename(String from, String to) throws IOException;

    /**
     * Adds a second name to a file.
     *
     * @return false if a file with the second name already exists; that file is then unchanged
     */
    boolean link(String from, String to) throws IOException;

    /** Deletes a file if it exists. */
    void delete(String file) throws IOException;

    /**
     * Forces the names of the files to the disk. The names are durable once this method returns.
     */
    void forceDirectory() throws IOException;
}
