package sagefall.policy;

import sagefall.balancer.api.ListedEndpoint;

/** A server, with the state that a baseline policy keeps for it. */
final class BaselineEndpoint {

    final long id;

    /** Latest entry of the server in the endpoint list. */
    ListedEndpoint listed;

    /** Number of this sidecar's attempts in flight at the server. */
    int inFlight;

    /** Latency estimate in microseconds; NaN before the first sample. */
    double latencyMicros = Double.NaN;

    /** Time of the last latency sample, in microseconds. */
    long sampledAtMicros;

    BaselineEndpoint(ListedEndpoint listed) {
        this.id = listed.id();
        this.listed = listed;
    }
}
