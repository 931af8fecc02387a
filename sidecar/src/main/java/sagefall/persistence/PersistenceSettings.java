package sagefall.persistence;

import java.nio.file.Path;
import sagefall.config.ConfigException;
import sagefall.config.ConfigSection;

/**
 * Settings of the section {@code recovery} of the extensions file. They determine where and how a
 * sidecar persists the endpoint list. Without the section, nothing is persisted.
 *
 * @param directory directory for exclusive use by this sidecar; null if nothing is persisted
 * @param maxBytes maximum length in bytes of each file that is read, and of snapshot and log
 *     together; a new snapshot replaces the log before the log exceeds half of this length
 * @param maxAgeMillis maximum age of a snapshot that is used as an endpoint list; an older snapshot
 *     is used only to exclude its draining and removed endpoints from lists with a lower revision
 * @param forceEachChange whether each change is forced to the disk; if false, only snapshots are
 *     forced; a snapshot contains the epoch
 * @param clockOffsetMillis offset added to the wall clock; simulates a wrong clock in tests
 */
public record PersistenceSettings(
        Path directory,
        long maxBytes,
        long maxAgeMillis,
        boolean forceEachChange,
        long clockOffsetMillis) {

    /** The settings that apply if the section is absent. */
    public static final PersistenceSettings OFF = new PersistenceSettings(null, 0, 0, false, 0);

    private static final String SYNC_EACH = "each";
    private static final String SYNC_SNAPSHOT = "snapshot";
    private static final long DEFAULT_MAX_BYTES = 4 * 1024 * 1024;
    private static final long LEAST_MAX_BYTES = 64 * 1024;
    private static final long GREATEST_MAX_BYTES = 1L << 30;
    private static final long DEFAULT_MAX_AGE_MILLIS = 3_600_000;
    private static final long THIRTY_DAYS_MILLIS = 30L * 24 * 3_600_000;

    /**
     * Reads the section.
     *
     * @throws ConfigException if a value is invalid; the message is one line that names the key and
     *     the problem
     */
    public static PersistenceSettings read(ConfigSection section) throws ConfigException {
        Path directory = readDirectory(section);
        String sync = section.string("sync", SYNC_EACH);
        if (!sync.equals(SYNC_EACH) && !sync.equals(SYNC_SNAPSHOT)) {
            throw section.invalid("sync", "must be 'each' or 'snapshot'");
        }
        PersistenceSettings settings =
                new PersistenceSettings(
                        directory,
                        section.integer(
                                "max_bytes",
                                DEFAULT_MAX_BYTES,
                                LEAST_MAX_BYTES,
                                GREATEST_MAX_BYTES),
                        section.integer(
                                "max_age_ms", DEFAULT_MAX_AGE_MILLIS, 0, THIRTY_DAYS_MILLIS),
                        sync.equals(SYNC_EACH),
                        section.integer(
                                "clock_offset_ms", 0, -THIRTY_DAYS_MILLIS, THIRTY_DAYS_MILLIS));
        section.rejectUnknownKeys();
        return settings;
    }

    /**
     * Reads the required key {@code directory} of a section.
     *
     * @throws ConfigException if the value is missing or is not an absolute path
     */
    public static Path readDirectory(ConfigSection section) throws ConfigException {
        String directory = section.string("directory", "");
        if (directory.isEmpty()
                || directory.indexOf('\0') >= 0
                || !Path.of(directory).isAbsolute()) {
            throw section.invalid("directory", "must be the absolute path of a directory");
        }
        return Path.of(directory);
    }

    /** Returns whether persistence is enabled. */
    public boolean isEnabled() {
        return directory != null;
    }

    /** Returns the Unix time in milliseconds, including the configured offset. */
    long wallMillis() {
        return System.currentTimeMillis() + clockOffsetMillis;
    }
}
