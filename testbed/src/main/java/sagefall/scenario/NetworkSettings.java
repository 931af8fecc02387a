package sagefall.scenario;

/**
 * Network latencies, and connections to servers.
 *
 * @param sameZoneMillis one-way latency within a zone
 * @param crossZoneMillis one-way latency between two zones
 * @param clientMillis one-way latency between a client and its sidecar
 * @param jitter mean random delay that is added to a latency, as a share of the latency; the delay
 *     is exponentially distributed
 * @param connectRoundTrips number of round trips that opening a connection takes
 * @param connectCostMicros work of the server for a new connection, on a core of speed 1
 * @param idleTimeoutSeconds time after which a server closes an idle connection
 * @param connectTimeoutMillis maximum time for opening a connection; if opening takes longer, it
 *     fails
 * @param connectionsPerCore number of connections that a server accepts, per core
 * @param connectionTableCost share of its speed that a server loses if all connections are in use
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
