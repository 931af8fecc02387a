package sagefall.balancer.api;

/** What discovery says of a server. */
public enum EndpointPhase {
    READY,
    DRAINING,
    REMOVED
}
