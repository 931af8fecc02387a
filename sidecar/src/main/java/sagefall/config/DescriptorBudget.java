package sagefall.config;

/**
 * How the file descriptors of a sidecar are divided. Clients hold a third of all for requests in
 * flight, each of which may need a connection to an endpoint.
 *
 * @param total descriptors that the sidecar may have open
 */
record DescriptorBudget(int total) {

    /** The fewest with which each part is of use. */
    static final int MINIMUM = 128;

    /** The number that is used at most, however many the configuration allows. */
    static final int MAXIMUM = 65_536;

    /**
     * Descriptors beside the connections of clients and endpoints: the runtime, its files and the
     * event loop hold 11; discovery's connection, a second one while it moves, and the
     * configuration read once more make 14.
     */
    private static final int RESERVED = 24;

    /**
     * Connections to endpoints: four ninths of what is left. That is the clients' third and a few
     * idle ones more; what remains for clients is that third and as many again as idle or unfit
     * ones may take.
     */
    int endpointConnections() {
        return (total - RESERVED) / 9 * 4;
    }

    /** Connections of clients: what endpoints and the process itself leave. */
    int clientConnections() {
        return total - RESERVED - endpointConnections();
    }

    /**
     * Requests in flight: each keeps a client's connection busy. Where a third of the descriptors
     * were busy, the next requests would be lost whatever their priority, so an eighth of that
     * third stays free for them.
     */
    int maxOpenRequests() {
        return total / 3 / 8 * 7;
    }
}
