package sagefall.scenario;

/**
 * Times are one way. Idle seconds and the price of set-up are those of a connection to a server.
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
