package sagefall.balancer.api;

/** Phase of an endpoint, as discovery reports it. */
public enum EndpointPhase {
    /** The endpoint accepts requests. */
    READY,
    /** The endpoint accepts no new requests, and completes the requests that it has accepted. */
    DRAINING,
    /** The endpoint no longer exists. */
    REMOVED
}
