package sagefall.simulator;

import java.util.List;
import sagefall.balancer.api.AttemptOutcome;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.EndpointListKind;
import sagefall.balancer.api.ListedEndpoint;
import sagefall.balancer.api.Request;

/** One message of the simulator, in the balancer's types. Times are microseconds. */
sealed interface SimulatorMessage {

    /** The endpoints of a table, which later lists refer to; tables belong to the process. */
    record PoolUpdate(int table, List<ListedEndpoint> endpoints) implements SimulatorMessage {}

    /** An instance starts, or replaces the one of its name. */
    record InstanceStart(BalancerSettings settings) implements SimulatorMessage {}

    /** An instance ends; what it knew is lost. */
    record InstanceStop() implements SimulatorMessage {}

    /** An endpoint list, which is the present content of a table. */
    record EndpointListUpdate(EndpointListKind kind, int table) implements SimulatorMessage {}

    /** A call to discovery failed. */
    record EndpointListFailure() implements SimulatorMessage {}

    /** A client's request. */
    record RequestArrival(Request request) implements SimulatorMessage {}

    /** The answer of a streamed class has begun. */
    record StreamStart(String requestId, int attempt, long endpoint, long elapsedMicros)
            implements SimulatorMessage {}

    /** An attempt has ended, or its answer has arrived. */
    record AttemptEnd(AttemptOutcome outcome) implements SimulatorMessage {}

    /** A client no longer waits for its request. */
    record ClientDisconnect(String requestId) implements SimulatorMessage {}

    /** A timer that the instance had scheduled expires. */
    record TimerExpiry(long token) implements SimulatorMessage {}

    /**
     * A message without a meaning for the balancer, which neither sends health checks nor messages
     * to its peers.
     */
    record Ignored() implements SimulatorMessage {}
}
