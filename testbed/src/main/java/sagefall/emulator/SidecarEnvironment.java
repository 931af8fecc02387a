package sagefall.emulator;

import sagefall.balancer.api.LoadBalancer;
import sagefall.balancer.api.RejectionReason;

/** The parts of the simulation that an emulated sidecar uses. */
interface SidecarEnvironment {

    /**
     * Limits of connections and responses.
     *
     * @param idleTimeoutMicros time after which a server closes an idle connection
     * @param connectTimeoutMicros timeout of opening a connection
     * @param connectRoundTrips number of round trips needed to open a connection
     * @param responseGraceMicros time after the deadline of a request within which the request must
     *     complete
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

    /** Returns the server with the id, or null. */
    EmulatedServer server(long id);

    /** Creates the load balancer for a new process of a sidecar. */
    LoadBalancer createLoadBalancer(EmulatedSidecar sidecar);

    /** Sends an attempt over its open connection. */
    void transmit(EmulatedAttempt attempt);

    /**
     * Sends a client its final response.
     *
     * @param reason null if the request was served or no response was sent in time
     * @param retryAfterMicros 0 if the response contains no Retry-After
     */
    void deliverResponse(
            ClientRequest request,
            ResponseKind response,
            RejectionReason reason,
            long retryAfterMicros);
}
