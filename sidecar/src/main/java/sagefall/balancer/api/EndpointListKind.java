package sagefall.balancer.api;

/** Kinds of endpoint list. */
public enum EndpointListKind {
    /** Changes to the last list. */
    CHANGES,
    /** A complete list: what it does not name is gone. */
    COMPLETE,
    /** A complete list from the configuration or from disk, before discovery has sent one. */
    CACHED,
    /** No list: a call to discovery failed. */
    FAILED
}
