package sagefall.persistence;

import java.nio.file.Path;
import sagefall.config.ConfigException;
import sagefall.config.ConfigSection;

/**
 * The section {@code recovery}: where a sidecar keeps what it was told, so that a start after a
 * crash or a power loss does not begin with an old list alone. Without the section no file is
 * touched.
 *
 * @param directory a folder of this sidecar's own; null: nothing is kept
 * @param maxBytes bound on the files that are read and written, in bytes
 * @param maxAgeMillis what was kept longer ago only restricts
 * @param forceEach whether each change is forced to the disk, or only snapshots and the epoch
 * @param clockOffsetMillis what the wall clock is set off by, for trials of clocks that are wrong
 */
public record PersistenceSettings(
        Path directory,
        long maxBytes,
        long maxAgeMillis,
        boolean forceEach,
        long clockOffsetMillis) {

    /** Without the section. */
    public static final PersistenceSettings OFF = new PersistenceSettings(null, 0, 0, false, 0);

    private static final long BYTES = 4 * 1024 * 1024;
    private static final long LEAST_BYTES = 64 * 1024;
    private static final long MOST_BYTES = 1L << 30;
    private static final long AGE_MILLIS = 3_600_000;
    private static final long MOST_AGE_MILLIS = 30L * 24 * 3_600_000;

    /** Reads the section; what is wrong is told in one plain line. */
    public static PersistenceSettings read(ConfigSection section) throws ConfigException {
        String directory = section.string("directory", "");
        if (directory.isEmpty()
                || directory.indexOf('\0') >= 0
                || !Path.of(directory).isAbsolute()) {
            throw section.invalid("directory", "must be the absolute path of a folder");
        }
        String sync = section.string("sync", "each");
        if (!sync.equals("each") && !sync.equals("snapshot")) {
            throw section.invalid("sync", "must be 'each' or 'snapshot'");
        }
        PersistenceSettings read =
                new PersistenceSettings(
                        Path.of(directory),
                        section.integer("max_bytes", BYTES, LEAST_BYTES, MOST_BYTES),
                        section.integer("max_age_ms", AGE_MILLIS, 0, MOST_AGE_MILLIS),
                        sync.equals("each"),
                        section.integer("clock_offset_ms", 0, -MOST_AGE_MILLIS, MOST_AGE_MILLIS));
        section.rejectUnknownKeys();
        return read;
    }

    public boolean isOn() {
        return directory != null;
    }

    /** Unix time in milliseconds, as this sidecar takes it. */
    long wallMillis() {
        return System.currentTimeMillis() + clockOffsetMillis;
    }
}
