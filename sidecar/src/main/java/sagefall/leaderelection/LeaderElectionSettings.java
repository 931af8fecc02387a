package sagefall.leaderelection;

import java.nio.file.Path;
import sagefall.config.ConfigException;
import sagefall.config.ConfigSection;
import sagefall.persistence.PersistenceSettings;

/**
 * The section {@code duties} of the extensions file: the leader election among the sidecars of a
 * machine. Without the section there is none.
 *
 * @param directory that all of them share; null: this sidecar never becomes leader
 * @param leaseMillis how long a grant lasts that is not renewed
 */
public record LeaderElectionSettings(Path directory, long leaseMillis) {

    /** Without the section. */
    public static final LeaderElectionSettings OFF = new LeaderElectionSettings(null, 0);

    private static final long DEFAULT_LEASE_MILLIS = 3_000;
    private static final long LEAST_LEASE_MILLIS = 600;
    private static final long GREATEST_LEASE_MILLIS = 600_000;

    /**
     * Reads the section.
     *
     * @throws ConfigException with one line that names the key and what is wrong with it
     */
    public static LeaderElectionSettings read(ConfigSection section) throws ConfigException {
        Path directory = PersistenceSettings.readDirectory(section);
        long leaseMillis =
                section.integer(
                        "lease_ms",
                        DEFAULT_LEASE_MILLIS,
                        LEAST_LEASE_MILLIS,
                        GREATEST_LEASE_MILLIS);
        section.rejectUnknownKeys();
        return new LeaderElectionSettings(directory, leaseMillis);
    }

    /** Whether this sidecar takes part in the election. */
    public boolean isOn() {
        return directory != null;
    }
}
