package sagefall.balancer.api;

/**
 * An entry of an endpoint list.
 *
 * @param id id of the server, which another incarnation may take over
 * @param zone index of its zone; negative if unknown
 * @param kind index of its kind of machine; negative if unknown
 * @param cell the deduplication cell that it belongs to
 * @param phase whether it takes requests
 * @param startMicros start of this incarnation; 0 means long ago
 * @param weight its weight in the list
 */
public record ListedEndpoint(
        long id,
        int zone,
        int kind,
        int cell,
        EndpointPhase phase,
        long startMicros,
        double weight) {}
