package sagefall.persistence;

import java.io.IOException;

/** Reports a file or directory of stored data that cannot be used, and the reason. */
public final class StoredDataException extends IOException {

    private static final long serialVersionUID = 1;

    /** Reasons why stored data cannot be used. */
    public enum Reason {
        /**
         * The content is not valid: the magic bytes, a length, the checksum or a field is invalid.
         */
        CORRUPT("corrupt"),
        /** The data belongs to a sidecar with another name. */
        FOREIGN("foreign"),
        /** The file has a format version that this program does not support. */
        NEWER_FORMAT("newer_format"),
        /**
         * The length of the file exceeds the configured maximum, or would exceed it after a write.
         */
        TOO_LARGE("too_large"),
        /** The directory is already locked, usually by another process. */
        LOCKED("locked"),
        /** The file system has no space left, or a disk quota is exhausted. */
        FULL("full"),
        /** The operating system failed to read the file. */
        UNREADABLE("unreadable");

        private final String logName;

        Reason(String logName) {
            this.logName = logName;
        }

        /**
         * Returns the value of the log field {@code reason} for this reason. The value is the same
         * in all versions of the program.
         */
        public String logName() {
            return logName;
        }
    }

    /**
     * Value of the log field {@code reason} for errors other than a {@link StoredDataException}.
     */
    private static final String OTHER_ERROR = "io_error";

    private final String file;
    private final Reason reason;

    private StoredDataException(String file, Reason reason, String message, Throwable cause) {
        super(message, cause);
        this.file = file;
        this.reason = reason;
    }

    /** Reports invalid magic bytes, an invalid length or an invalid checksum. */
    static StoredDataException corrupt(String file) {
        return new StoredDataException(file, Reason.CORRUPT, file + " is damaged", null);
    }

    /**
     * Reports a corrupt record that had already been forced to the disk.
     *
     * @param offset start of the record in the file, in bytes
     */
    static StoredDataException corruptAt(String file, int offset) {
        return new StoredDataException(
                file, Reason.CORRUPT, file + " is damaged at byte " + offset, null);
    }

    /** Reports content that has a correct checksum but cannot be decoded. */
    public static StoredDataException malformed(String file, String problem, Throwable cause) {
        return new StoredDataException(file, Reason.CORRUPT, file + ": " + problem, cause);
    }

    /** Reports a file that belongs to another sidecar. */
    static StoredDataException foreign(String file, String ownerName) {
        return new StoredDataException(
                file, Reason.FOREIGN, file + " belongs to the sidecar '" + ownerName + "'", null);
    }

    /** Reports a file whose format version is not the supported one. */
    static StoredDataException newerFormat(String file, int version, int supportedVersion) {
        return new StoredDataException(
                file,
                Reason.NEWER_FORMAT,
                file + " has format version " + version + ", expected " + supportedVersion,
                null);
    }

    /** Reports a file that is longer than the maximum. */
    static StoredDataException tooLarge(String file, long bytes, long maxBytes) {
        return new StoredDataException(
                file,
                Reason.TOO_LARGE,
                file + " holds " + bytes + " bytes, more than the maximum of " + maxBytes,
                null);
    }

    /** Reports a directory that is already locked, usually by another process. */
    static StoredDataException locked(String directory) {
        return new StoredDataException(
                directory, Reason.LOCKED, directory + " is in use by another process", null);
    }

    /** Reports a write that failed because the file system has no space left. */
    static StoredDataException full(String file, IOException cause) {
        return new StoredDataException(file, Reason.FULL, file + ": " + cause.getMessage(), cause);
    }

    /** Reports a read that failed in the operating system. */
    static StoredDataException unreadable(String file, IOException cause) {
        return new StoredDataException(
                file, Reason.UNREADABLE, file + ": " + cause.getMessage(), cause);
    }

    /** Returns the name of the file in its directory, or the path of an unusable directory. */
    public String file() {
        return file;
    }

    /** Returns why the file or directory cannot be used. */
    public Reason reason() {
        return reason;
    }

    /** Returns the value of the log field {@code reason} for an error of the storage. */
    public static String logReason(Throwable error) {
        return error instanceof StoredDataException e ? e.reason.logName() : OTHER_ERROR;
    }
}
