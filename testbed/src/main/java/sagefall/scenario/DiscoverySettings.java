package sagefall.scenario;

/**
 * What discovery knows, and when.
 *
 * @param noticeSeconds from a planned change, or a process's death, to its being known
 * @param silentSeconds the same where a machine falls silent
 * @param addSeconds the same for a server that has started
 * @param periodMillis between two lists that bring changes
 * @param spreadMillis by which sidecars hear of one list after another
 */
public record DiscoverySettings(
        ValueRange detectionSeconds,
        ValueRange silentDetectionSeconds,
        ValueRange registrationSeconds,
        ValueRange publishIntervalMillis,
        ValueRange propagationSpreadMillis) {}
