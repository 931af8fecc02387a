package sagefall.leaderelection;

import java.nio.file.Path;
import sagefall.config.ConfigException;
import sagefall.config.ConfigSection;
import sagefall.persistence.PersistenceSettings;

/**
 * Settings of the leader election among the sidecars of a machine, read from the section {@code
 * duties} of the extensions file. A sidecar without the section takes no part in the election.
 *
 * @param directory directory that the sidecars share; null if this sidecar takes no part in the
 *     election
 * @param leaseMillis duration of the lease in milliseconds after each grant or renewal
 */
public record LeaderElectionSettings(Path directory, long leaseMillis) {

    /** Settings of a sidecar that takes no part in the election. */
    public static final LeaderElectionSettings OFF = new LeaderElectionSettings(null, 0);

    private static final long DEFAULT_LEASE_MILLIS = 3_000;
    private static final long MIN_LEASE_MILLIS = 600;
    private static final long MAX_LEASE_MILLIS = 600_000;

    /**
     * Reads the section.
     *
     * @throws ConfigException if a key is unknown or a value is invalid; the message is one line
     *     that names the key
     */
    public static LeaderElectionSettings read(ConfigSection section) throws ConfigException {
        Path directory = PersistenceSettings.readDirectory(section);
        long leaseMillis =
                section.integer(
                        "lease_ms", DEFAULT_LEASE_MILLIS, MIN_LEASE_MILLIS, MAX_LEASE_MILLIS);
        section.rejectUnknownKeys();
        return new LeaderElectionSettings(directory, leaseMillis);
    }

    /** Returns whether this sidecar takes part in the election. */
    public boolean isEnabled() {
        return directory != null;
    }
}
