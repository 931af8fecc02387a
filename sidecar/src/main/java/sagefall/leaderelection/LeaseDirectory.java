package sagefall.leaderelection;

import java.io.IOException;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import sagefall.persistence.AtomicFile;
import sagefall.persistence.Storage;

/**
 * The files of a lease's directory, of which several kinds have a number at the end of their name,
 * such as {@code term-3}. Several processes use them at a time, each under its own temporary names.
 */
final class LeaseDirectory {

    private static final int MAX_FILE_BYTES = 4 * 1024 * 1024;

    /** Files of that many numbers before the newest one stay, as a history. */
    private static final int MAX_OLD_FILES = 32;

    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,18}");
    private static final Pattern TEMPORARY_OF_PROCESS =
            Pattern.compile(".+" + Pattern.quote(AtomicFile.TEMPORARY_SUFFIX) + "-([0-9]{1,18})");

    private final Storage storage;

    /** Ends this process's temporary names. */
    private final String writerSuffix;

    /**
     * A directory as one process uses it.
     *
     * @param writer differs between the processes that use the directory at a time
     */
    LeaseDirectory(Storage storage, String writer) {
        this.storage = storage;
        writerSuffix = "-" + writer;
    }

    /** The names of the files that begin with the prefix, by the numbers that they end in. */
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

    /** A file's body; null where there is no such file. */
    byte[] read(String file) throws IOException {
        return AtomicFile.read(storage, file, MAX_FILE_BYTES);
    }

    /** Replaces a file; it is on the disk once this returns. */
    void write(String file, byte[] body) throws IOException {
        AtomicFile.write(storage, file, body, writerSuffix);
    }

    /** Creates a file that does not exist yet; false if another process was first. */
    boolean createExclusively(String file, byte[] body) throws IOException {
        return AtomicFile.createExclusively(storage, file, body, writerSuffix);
    }

    /**
     * Deletes files far behind the newest one; an old owner may bring one back, which nobody reads.
     * So do the temporary files of processes that have died.
     */
    void cleanUp(String prefix, long newest) throws IOException {
        for (String file : storage.list()) {
            if (isAbandoned(file)) {
                storage.delete(file);
            }
        }
        SortedMap<Long, String> old = numberedFiles(prefix).headMap(newest - MAX_OLD_FILES);
        for (String file : old.values()) {
            storage.delete(file);
        }
    }

    private static boolean isAbandoned(String file) {
        Matcher temporary = TEMPORARY_OF_PROCESS.matcher(file);
        return temporary.matches()
                && ProcessHandle.of(Long.parseLong(temporary.group(1))).isEmpty();
    }
}
