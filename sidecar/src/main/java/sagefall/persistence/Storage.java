package sagefall.persistence;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;

/**
 * All that keeping asks of a folder, so that a power loss at each of these calls can be played.
 * What was written counts as kept only once it was forced, and a name only once the folder was.
 */
public interface Storage extends Closeable {

    /** A file that is written from its beginning on. */
    interface Out extends Closeable {
        void write(byte[] bytes) throws IOException;

        /** Returns once all that was written is on the disk. */
        void force() throws IOException;
    }

    /** The names in the folder. */
    List<String> names() throws IOException;

    /**
     * Whether the folder still has a file of that name, which writing to an open one does not show.
     */
    boolean has(String name);

    /** A file's bytes; null where there is none. One that is longer than the bound is an error. */
    byte[] read(String name, long most) throws IOException;

    /** A new file, or an old one emptied. */
    Out create(String name) throws IOException;

    /** Takes the place of what has the other name. */
    void rename(String from, String to) throws IOException;

    /** Gives a file a second name, unless that is taken; whether it was free. */
    boolean link(String from, String to) throws IOException;

    void delete(String name) throws IOException;

    /** Returns once all names are as they are now on the disk too. */
    void forceNames() throws IOException;
}
