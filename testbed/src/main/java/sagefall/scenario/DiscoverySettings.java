package sagefall.scenario;

/**
 * Delays of discovery.
 *
 * @param detectionSeconds mean time until discovery detects that a server drains or its process has
 *     exited
 * @param silentDetectionSeconds mean time until discovery detects that a machine has stopped
 *     responding
 * @param registrationSeconds mean time until discovery lists a server that has started
 * @param publishIntervalMillis time between two publications of changes to the endpoint list
 * @param propagationSpreadMillis time between the receipt of a list by the first and by the last
 *     sidecar
 */
public record DiscoverySettings(
        ValueRange detectionSeconds,
        ValueRange silentDetectionSeconds,
        ValueRange registrationSeconds,
        ValueRange publishIntervalMillis,
        ValueRange propagationSpreadMillis) {}
