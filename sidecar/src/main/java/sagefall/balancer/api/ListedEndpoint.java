package sagefall.balancer.api;

/**
 * An entry of an endpoint list: an endpoint with its properties.
 *
 * @param id id of the endpoint; a later incarnation may have the same id
 * @param zone index of the endpoint's zone; negative if unknown
 * @param model index of the endpoint's machine type; negative if unknown
 * @param cell index of the endpoint's cell; retries are deduplicated within a cell if the scope is
 *     {@link DeduplicationScope#CELL}
 * @param phase whether the endpoint accepts requests
 * @param startMicros point in time at which this incarnation started; 0 if this incarnation started
 *     long ago
 * @param weight weight of the endpoint in the list; not used for routing
 */
public record ListedEndpoint(
        long id,
        int zone,
        int model,
        int cell,
        EndpointPhase phase,
        long startMicros,
        double weight) {

    /**
     * Returns whether this entry describes an earlier process than a known entry of the same id.
     * This is the case if its list is older and its start is earlier. A list of a higher revision
     * is right even if the start is earlier, because the clock of a machine may be set back.
     *
     * @param revision revision of the list of this entry
     * @param known the known entry
     * @param knownRevision highest revision of the lists that named the known process
     */
    public boolean isOfEarlierProcess(long revision, ListedEndpoint known, long knownRevision) {
        return revision < knownRevision && startMicros < known.startMicros;
    }
}
