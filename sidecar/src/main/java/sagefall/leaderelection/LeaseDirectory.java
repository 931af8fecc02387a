package sagefall.leaderelection;

import java.io.IOException;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import sagefall.persistence.AtomicFile;
import sagefall.persistence.Storage;

/**
 * Reads and writes the files in the directory of a lease. A file name consists of a prefix and a
 * number, such as {@code term-3}. Several processes may use the directory at the same time. The
 * processes use different names for their temporary files.
 */
final class LeaseDirectory {

    private static final int MAX_FILE_BYTES = 4 * 1024 * 1024;

    /** Number of past terms whose files are kept as a history. The newest term is not counted. */
    private static final int MAX_PAST_TERMS = 32;

    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,18}");

    /**
     * Matches the name of a temporary file. The group captures the id of the process that created
     * the file.
     */
    private static final Pattern TEMPORARY_FILE_NAME =
            Pattern.compile(".+" + Pattern.quote(AtomicFile.TEMPORARY_SUFFIX) + "-([0-9]{1,18})");

    private final Storage storage;

    /** Suffix of this process's temporary file names. */
    private final String writerSuffix;

    /**
     * Creates an instance for one process.
     *
     * @param writer suffix of temporary file names, unique among the processes that use the
     *     directory at the same time
     */
    LeaseDirectory(Storage storage, String writer) {
        this.storage = storage;
        writerSuffix = "-" + writer;
    }

    /** Returns the file names that consist of the prefix and a number, in order of the numbers. */
    SortedMap<Long, String> numberedFiles(String prefix) throws IOException {
        SortedMap<Long, String> files = new TreeMap<>();
        for (String file : storage.list()) {
            if (file.startsWith(prefix)) {
                String number = file.substring(prefix.length());
                if (NUMBER.matcher(number).matches()) {
                    files.put(Long.parseLong(number), file);
                }
            }
        }
        return files;
    }

    /** Returns the body of a file, or null if the file does not exist. */
    byte[] read(String file) throws IOException {
        return AtomicFile.read(storage, file, MAX_FILE_BYTES);
    }

    /** Replaces a file. The new body is on the disk when this method returns. */
    void write(String file, byte[] body) throws IOException {
        AtomicFile.write(storage, file, body, writerSuffix);
    }

    /** Creates a file. Returns false and leaves the file unchanged if it already exists. */
    boolean createExclusively(String file, byte[] body) throws IOException {
        return AtomicFile.createExclusively(storage, file, body, writerSuffix);
    }

    /**
     * Deletes the temporary files of processes that have exited, and old files with the prefix. A
     * file is old if its number is less than {@code newest} by more than {@link #MAX_PAST_TERMS}. A
     * former leader may write a deleted file again. Such a write has no effect, because a file with
     * a greater number exists.
     */
    void cleanUp(String prefix, long newest) throws IOException {
        for (String file : storage.list()) {
            if (isAbandoned(file)) {
                storage.delete(file);
            }
        }
        SortedMap<Long, String> old = numberedFiles(prefix).headMap(newest - MAX_PAST_TERMS);
        for (String file : old.values()) {
            storage.delete(file);
        }
    }

    /** Returns whether the file is a temporary file of a process that has exited. */
    private static boolean isAbandoned(String file) {
        Matcher temporaryName = TEMPORARY_FILE_NAME.matcher(file);
        return temporaryName.matches()
                && ProcessHandle.of(Long.parseLong(temporaryName.group(1))).isEmpty();
    }
}
