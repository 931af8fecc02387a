package sagefall.emulator;

import sagefall.balancer.api.LoadBalancer;
import sagefall.balancer.api.RejectionReason;

/** The parts of the simulation that an emulated sidecar uses. */
interface SidecarEnvironment {

    /**
     * Limits of connections and responses.
     *
     * @param idleTimeoutMicros duration after which a server closes an idle connection
     * @param connectTimeoutMicros maximum time for opening a connection
     * @param connectRoundTrips number of round trips needed to open a connection
     * @param responseGraceMicros maximum time from the deadline of a request to its completion
     */
    record Limits(
            double idleTimeoutMicros,
            long connectTimeoutMicros,
            double connectRoundTrips,
            long responseGraceMicros) {}

    /** Returns the virtual clock and the scheduled events. */
    EventQueue events();

    EmulatedNetwork network();

    InvariantChecker invariants();

    Limits limits();

    /** Returns the server with the id; null if no server has the id. */
    EmulatedServer server(long id);

    /** Creates the load balancer for a new process of a sidecar. */
    LoadBalancer createLoadBalancer(EmulatedSidecar sidecar);

    /** Sends an attempt over its open connection. */
    void transmit(EmulatedAttempt attempt);

    /**
     * Sends a client its final response.
     *
     * @param reason reason of a rejection or failure; null if the request was served or got no
     *     response in time
     * @param retryAfterMicros delay in the Retry-After header; 0 if the response contains no
     *     Retry-After
     */
    void deliverResponse(
            ClientRequest request,
            ResponseKind response,
            RejectionReason reason,
            long retryAfterMicros);
}
