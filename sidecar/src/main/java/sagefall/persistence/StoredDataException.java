package sagefall.persistence;

import java.io.IOException;

/** A file or directory of stored data cannot be used; says which one, and why. */
public final class StoredDataException extends IOException {

    private static final long serialVersionUID = 1;

    /** Why stored data cannot be used. */
    public enum Reason {
        /** The content is not what was written: a bad checksum, length, magic or field. */
        CORRUPT("corrupt"),
        /** The data belongs to a sidecar of another name. */
        FOREIGN("foreign"),
        /** The file has a format version that this program does not know. */
        NEWER_FORMAT("newer_format"),
        /** The file is, or would become, longer than the configured bound. */
        TOO_LARGE("too_large"),
        /** Another process has the directory locked. */
        LOCKED("locked"),
        /** The file system has no space left, or a disk quota is exhausted. */
        FULL("full"),
        /** The operating system failed to read the file. */
        UNREADABLE("unreadable");

        private final String logName;

        Reason(String logName) {
            this.logName = logName;
        }

        /** The value of the log field {@code reason}; it stays when the constant is renamed. */
        public String logName() {
            return logName;
        }
    }

    /** The log field {@code reason} of any other {@link IOException}. */
    private static final String OTHER_ERROR = "io_error";

    private final String file;
    private final Reason reason;

    private StoredDataException(String file, Reason reason, String message, Throwable cause) {
        super(message, cause);
        this.file = file;
        this.reason = reason;
    }

    /** The magic, length or checksum is wrong. */
    static StoredDataException corrupt(String file) {
        return new StoredDataException(file, Reason.CORRUPT, file + " is damaged", null);
    }

    /** A record that was known to be forced to the disk is not intact. */
    static StoredDataException corruptAt(String file, int offset) {
        return new StoredDataException(
                file, Reason.CORRUPT, file + " is damaged at byte " + offset, null);
    }

    /** The checksum is right, but the content cannot be decoded. */
    public static StoredDataException malformed(String file, String problem, Throwable cause) {
        return new StoredDataException(file, Reason.CORRUPT, file + ": " + problem, cause);
    }

    /** The file belongs to the sidecar of that name. */
    static StoredDataException foreign(String file, String ownerName) {
        return new StoredDataException(
                file, Reason.FOREIGN, file + " belongs to the sidecar '" + ownerName + "'", null);
    }

    /** The file's format version is not the one that this program writes. */
    static StoredDataException newerFormat(String file, int version, int knownVersion) {
        return new StoredDataException(
                file,
                Reason.NEWER_FORMAT,
                file + " has format " + version + ", this program knows " + knownVersion,
                null);
    }

    /** The file's length is over the bound. */
    static StoredDataException tooLarge(String file, long bytes, long maxBytes) {
        return new StoredDataException(
                file,
                Reason.TOO_LARGE,
                file + " holds " + bytes + " bytes, over the bound of " + maxBytes,
                null);
    }

    /** Another process has locked the directory. */
    static StoredDataException locked(String directory) {
        return new StoredDataException(
                directory, Reason.LOCKED, directory + " is in use by another process", null);
    }

    /** The file system refused a write for lack of space. */
    static StoredDataException full(String file, IOException cause) {
        return new StoredDataException(file, Reason.FULL, file + ": " + cause.getMessage(), cause);
    }

    /** Reading failed in the operating system. */
    static StoredDataException unreadable(String file, IOException cause) {
        return new StoredDataException(
                file, Reason.UNREADABLE, file + ": " + cause.getMessage(), cause);
    }

    /** The file's name in its directory, or the directory's path where that is concerned. */
    public String file() {
        return file;
    }

    /** Why it cannot be used. */
    public Reason reason() {
        return reason;
    }

    /** The log field {@code reason} for any error of storage. */
    public static String logReason(Throwable error) {
        return error instanceof StoredDataException e ? e.reason.logName() : OTHER_ERROR;
    }
}
