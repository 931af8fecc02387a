package sagefall.config;

/**
 * Divides the file descriptors of a sidecar. A third of all descriptors is for client connections
 * with an open request, each of which may need a connection to an endpoint.
 *
 * @param total number of descriptors that the sidecar may have open
 */
record DescriptorBudget(int total) {

    /** Minimum number of descriptors; with fewer, the shares are too small to be useful. */
    static final int MINIMUM = 128;

    /** Maximum number of descriptors that are used, however many the configuration allows. */
    static final int MAXIMUM = 65_536;

    /**
     * Descriptors reserved for everything but the connections of clients and endpoints. The
     * runtime, its files and the event loop use 11; the connection to discovery, a second one while
     * discovery moves to another address, and the configuration file while it is read again bring
     * this to 14.
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
     * Returns the maximum number of open requests, each of which occupies a client connection. If a
     * whole third of the descriptors were occupied, further requests would be lost whatever their
     * priority, so an eighth of that third is kept free for them.
     */
    int maxOpenRequests() {
        return total / 3 / 8 * 7;
    }
}
