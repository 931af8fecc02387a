package sagefall.scenario;

import java.util.List;

/**
 * The sidecars and servers, and how they are spread over the zones.
 *
 * @param sidecars number of sidecars
 * @param servers number of servers at the start
 * @param zones names of the zones
 * @param serverSkew how unevenly the zones share the servers, 0 to 1
 * @param cellServers servers in a cell
 * @param startSeconds from a sidecar's start until it is ready; real processes take what they take
 * @param persistence whether real sidecars persist the endpoint list: off, or the name of the mode
 * @param leaseMillis length of the lease that real sidecars compete for; 0: none
 */
public record FleetSettings(
        int sidecars,
        int servers,
        List<String> zones,
        double serverSkew,
        int cellServers,
        ValueRange startSeconds,
        String persistence,
        int leaseMillis) {}
