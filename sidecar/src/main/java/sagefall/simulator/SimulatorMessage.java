package sagefall.simulator;

import java.util.List;
import sagefall.balancer.api.AttemptOutcome;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.EndpointListKind;
import sagefall.balancer.api.ListedEndpoint;
import sagefall.balancer.api.Request;

/** A decoded message of the simulator. Times are in microseconds. */
sealed interface SimulatorMessage {

    /**
     * Defines the endpoints of a table. Later endpoint lists refer to the table by number. All
     * instances of the process share the tables.
     */
    record PoolUpdate(int table, List<ListedEndpoint> endpoints) implements SimulatorMessage {}

    /** Starts an instance. The new instance replaces a running instance that has an equal name. */
    record InstanceStart(BalancerSettings settings) implements SimulatorMessage {}

    /** Stops an instance and discards its state. */
    record InstanceStop() implements SimulatorMessage {}

    /** Reports an endpoint list. The list is the current content of the table. */
    record EndpointListUpdate(EndpointListKind kind, int table) implements SimulatorMessage {}

    /** Reports that a call to discovery failed. */
    record EndpointListFailure() implements SimulatorMessage {}

    /** Reports that a client's request arrived. */
    record RequestArrival(Request request) implements SimulatorMessage {}

    /** Reports that a streamed response to an attempt has started. */
    record StreamStart(String requestId, int attempt, long endpoint, long elapsedMicros)
            implements SimulatorMessage {}

    /** Reports that an attempt has ended, or that the response to it has arrived. */
    record AttemptEnd(AttemptOutcome outcome) implements SimulatorMessage {}

    /** Reports that a client has disconnected and no longer waits for the response. */
    record ClientDisconnect(String requestId) implements SimulatorMessage {}

    /** Reports that a timer scheduled by the instance has expired. */
    record TimerExpiry(long token) implements SimulatorMessage {}

    /**
     * Stands for a message that the balancer does not use: the result of a health check or a
     * message from a peer. The balancer sends neither health checks nor messages to peers.
     */
    record Ignored() implements SimulatorMessage {}
}
