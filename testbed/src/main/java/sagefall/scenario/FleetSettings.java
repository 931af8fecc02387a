package sagefall.scenario;

import java.util.List;

/**
 * The sidecars and servers, and how they are spread over the zones.
 *
 * @param cellServers servers that a cell holds
 * @param serverSkew how unevenly the zones share the servers, 0 to 1
 * @param startSeconds from a sidecar's start until it is ready; real processes take what they take
 * @param keeps whether real sidecars keep what they are told: off, or the section's word for how
 * @param leaseMillis of the duty that real sidecars stand for; 0: none
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
