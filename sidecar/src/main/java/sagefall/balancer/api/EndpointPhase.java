package sagefall.balancer.api;

/** What discovery says of a server. */
public enum EndpointPhase {
    /** It takes requests. */
    READY,
    /** It takes no new requests, and finishes those that it has. */
    DRAINING,
    /** It is gone. */
    REMOVED
}
