package sagefall.scenario;

/**
 * Latencies, which are one way, and the connections to servers.
 *
 * @param sameZoneMillis latency within a zone
 * @param crossZoneMillis latency between two zones
 * @param clientMillis latency between a client and its sidecar
 * @param jitter mean of the exponential addition to a latency, as a share of it
 * @param connectRoundTrips round trips to open a connection
 * @param connectCostMicros work of the server for a new connection, on a core of speed 1
 * @param idleTimeoutSeconds after which a server closes an idle connection
 * @param connectTimeoutMillis after which an attempt to connect has failed
 * @param connectionsPerCore connections that a server accepts for each core
 * @param connectionTableCost share of its speed that a server loses with all connections in use
 */
public record NetworkSettings(
        ValueRange sameZoneMillis,
        ValueRange crossZoneMillis,
        ValueRange clientMillis,
        ValueRange jitter,
        ValueRange connectRoundTrips,
        ValueRange connectCostMicros,
        double idleTimeoutSeconds,
        double connectTimeoutMillis,
        ValueRange connectionsPerCore,
        ValueRange connectionTableCost) {}
