package sagefall.emulator;

import sagefall.balancer.api.LoadBalancer;
import sagefall.balancer.api.RejectionReason;

/** What an emulated sidecar needs of the simulation. */
interface SidecarEnvironment {

    /**
     * Limits of connections and answers.
     *
     * @param idleTimeoutMicros after which a server closes an idle connection
     * @param connectTimeoutMicros after which an attempt to connect has failed
     * @param connectRoundTrips round trips to open a connection
     * @param answerGraceMicros how long after its deadline a request must be answered
     */
    record Limits(
            double idleTimeoutMicros,
            long connectTimeoutMicros,
            double connectRoundTrips,
            long answerGraceMicros) {}

    /** The clock, and the events to come. */
    EventQueue events();

    EmulatedNetwork network();

    InvariantChecker invariants();

    Limits limits();

    /** The server of that id, or null. */
    EmulatedServer server(long id);

    /** A new load balancer for a new process of a sidecar. */
    LoadBalancer createLoadBalancer(EmulatedSidecar sidecar);

    /** Sends an attempt over its connection, which is open. */
    void transmit(EmulatedAttempt attempt);

    /**
     * Gives a client its final answer.
     *
     * @param reason null where the request was served, or not answered at all
     * @param retryAfterMicros 0 where the answer names no time
     */
    void answer(
            ClientRequest request,
            ClientAnswer answer,
            RejectionReason reason,
            long retryAfterMicros);
}
