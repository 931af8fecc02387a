package sagefall.scenario;

import java.util.List;

/**
 * Sidecars and servers, and their distribution over the zones.
 *
 * @param sidecars number of sidecars
 * @param servers number of servers at the start
 * @param zones names of the zones
 * @param serverSkew unevenness of the distribution of the servers over the zones, 0 to 1
 * @param cellServers number of servers in a cell
 * @param startSeconds time from the start of a sidecar until the sidecar is ready, in the emulator;
 *     fault injection ignores this time, because real processes are started there
 * @param persistence mode in which sidecars persist the endpoint list in fault injection: {@code
 *     off}, {@code each} or {@code snapshot}
 * @param leaseMillis duration of the lease that sidecars compete for in fault injection; 0 for no
 *     lease
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
