package sagefall.persistence;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;

/**
 * The operations on one directory that persistence and leader election need, so that tests can lose
 * power at each of these calls. Written content counts as durable only once it was forced, and a
 * file's name only once the directory was. Not safe for use by several threads at a time.
 */
public interface Storage extends Closeable {

    /** A file that is written from its beginning on. */
    interface Output extends Closeable {

        /**
         * Appends all the bytes.
         *
         * @throws StoredDataException with {@code FULL} if the file system has no space left
         */
        void write(byte[] bytes) throws IOException;

        /** Returns once all that was written is on the disk. */
        void force() throws IOException;
    }

    /** The names of the files in the directory. */
    List<String> list() throws IOException;

    /** Whether a file of that name exists; writing to an open one does not show that it is gone. */
    boolean exists(String file);

    /**
     * A file's content; null where there is no such file.
     *
     * @throws StoredDataException with {@code TOO_LARGE} if it is longer than the bound
     */
    byte[] read(String file, long maxBytes) throws IOException;

    /** Creates a file, or truncates an existing one. */
    Output create(String file) throws IOException;

    /** Renames a file, atomically, in place of the one that has the new name. */
    void rename(String from, String to) throws IOException;

    /** Gives a file a second name; false, and nothing done, if that name is taken. */
    boolean link(String from, String to) throws IOException;

    /** Deletes a file, if it exists. */
    void delete(String file) throws IOException;

    /** Returns once the directory's names are on the disk as they are now. */
    void forceDirectory() throws IOException;
}
