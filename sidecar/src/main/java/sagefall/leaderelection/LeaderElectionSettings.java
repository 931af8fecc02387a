package sagefall.leaderelection;

import java.nio.file.Path;
import sagefall.config.ConfigException;
import sagefall.config.ConfigSection;

/**
 * The section {@code duties}: work that one sidecar of a machine does for all. Without it there is
 * none.
 *
 * @param directory a folder that all of them share; null: no duty is taken
 * @param leaseMillis how long a grant lasts that is not renewed
 */
public record LeaderElectionSettings(Path directory, long leaseMillis) {

    /** Without the section. */
    public static final LeaderElectionSettings OFF = new LeaderElectionSettings(null, 0);

    private static final long LEASE_MILLIS = 3_000;
    private static final long LEAST_MILLIS = 600;
    private static final long MOST_MILLIS = 600_000;

    /** Reads the section; what is wrong is told in one plain line. */
    public static LeaderElectionSettings read(ConfigSection section) throws ConfigException {
        String directory = section.string("directory", "");
        if (directory.isEmpty()
                || directory.indexOf('\0') >= 0
                || !Path.of(directory).isAbsolute()) {
            throw section.invalid("directory", "must be the absolute path of a folder");
        }
        LeaderElectionSettings read =
                new LeaderElectionSettings(
                        Path.of(directory),
                        section.integer("lease_ms", LEASE_MILLIS, LEAST_MILLIS, MOST_MILLIS));
        section.rejectUnknownKeys();
        return read;
    }

    public boolean isOn() {
        return directory != null;
    }
}
