package sagefall.policy;

import sagefall.balancer.api.ListedEndpoint;

/** A server as a baseline policy knows it. */
final class BaselineEndpoint {

    final long id;
    ListedEndpoint listed;

    /** Attempts of this sidecar in flight. */
    int inFlight;

    /** Estimated latency in microseconds; NaN before the first sample. */
    double latencyMicros = Double.NaN;

    /** When the latency was sampled last. */
    long sampledAtMicros;

    BaselineEndpoint(ListedEndpoint listed) {
        this.id = listed.id();
        this.listed = listed;
    }
}
