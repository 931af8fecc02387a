package sagefall.config;

/**
 * Divides the file descriptors of a sidecar. A third of all descriptors is for client connections
 * with an open request. Each open request may need a second descriptor for a connection to an
 * endpoint.
 *
 * @param total number of descriptors that the sidecar may have open
 */
record DescriptorBudget(int total) {

    /** Minimum total number of descriptors. A smaller total leaves too few connections. */
    static final int MINIMUM = 128;

    /** Maximum total number of descriptors, even if the configuration allows more. */
    static final int MAXIMUM = 65_536;

    /**
     * Number of descriptors reserved for everything except connections to clients and endpoints. At
     * most 14 are in use at a time: 11 by the runtime, its files and the event loop; one by the
     * connection to discovery; one by a second connection while discovery moves to another address;
     * one by the configuration file while it is read again.
     */
    private static final int RESERVED = 24;

    /**
     * Returns the maximum number of connections to endpoints: four ninths of the descriptors that
     * are not reserved. That covers one connection for each open request (a third of all
     * descriptors) and a few idle connections. The rest is for clients: a third of all descriptors
     * for open requests, and more for client connections that are idle or unusable.
     */
    int endpointConnections() {
        return (total - RESERVED) / 9 * 4;
    }

    /**
     * Returns the maximum number of client connections: the descriptors left by endpoint
     * connections and the process itself.
     */
    int clientConnections() {
        return total - RESERVED - endpointConnections();
    }

    /**
     * Returns the maximum number of open requests. Each open request occupies a client connection.
     * If open requests occupied a whole third of the descriptors, further requests would be lost
     * whatever their priority. An eighth of that third is therefore kept free for further requests.
     */
    int maxOpenRequests() {
        return total / 3 / 8 * 7;
    }
}
