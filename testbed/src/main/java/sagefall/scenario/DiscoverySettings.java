package sagefall.scenario;

/**
 * How long discovery takes.
 *
 * @param detectionSeconds until a planned change, or the end of a process, is known
 * @param silentDetectionSeconds the same where a machine stops responding
 * @param registrationSeconds the same for a server that has started
 * @param publishIntervalMillis between two lists of changes
 * @param propagationSpreadMillis between the first and the last sidecar that gets a list
 */
public record DiscoverySettings(
        ValueRange detectionSeconds,
        ValueRange silentDetectionSeconds,
        ValueRange registrationSeconds,
        ValueRange publishIntervalMillis,
        ValueRange propagationSpreadMillis) {}
