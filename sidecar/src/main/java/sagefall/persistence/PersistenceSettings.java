package sagefall.persistence;

import java.nio.file.Path;
import sagefall.config.ConfigException;
import sagefall.config.ConfigSection;

/**
 * The section {@code recovery} of the extensions file: where and how a sidecar persists what
 * discovery reports. Without the section no file is touched.
 *
 * @param directory of this sidecar alone; null: nothing is persisted
 * @param maxBytes bound on each file that is read, and on snapshot and log together
 * @param maxAgeMillis an older snapshot only names endpoints that must not be used
 * @param forceEach whether each change is forced to the disk, or only snapshots and the epoch
 * @param clockOffsetMillis added to the wall clock, for trials of clocks that are wrong
 */
public record PersistenceSettings(
        Path directory,
        long maxBytes,
        long maxAgeMillis,
        boolean forceEach,
        long clockOffsetMillis) {

    /** Without the section. */
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
     * @throws ConfigException with one line that names the key and what is wrong with it
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
     * Reads the key {@code directory} of a section, which is required.
     *
     * @throws ConfigException if it is not the absolute path of a directory
     */
    public static Path readDirectory(ConfigSection section) throws ConfigException {
        String directory = section.string("directory", "");
        if (directory.isEmpty()
                || directory.indexOf('\0') >= 0
                || !Path.of(directory).isAbsolute()) {
            throw section.invalid("directory", "must be the absolute path of a folder");
        }
        return Path.of(directory);
    }

    /** Whether anything is persisted. */
    public boolean isOn() {
        return directory != null;
    }

    /** Unix time in milliseconds, as this sidecar takes it. */
    long wallMillis() {
        return System.currentTimeMillis() + clockOffsetMillis;
    }
}
