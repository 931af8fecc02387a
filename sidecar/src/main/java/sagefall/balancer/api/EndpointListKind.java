package sagefall.balancer.api;

/** Kinds of endpoint list. */
public enum EndpointListKind {
    /** Changes since the last list. */
    CHANGES,
    /** A complete list: endpoints that it does not name are removed. */
    COMPLETE,
    /** A complete list from the configuration or from disk, used until discovery sends a list. */
    CACHED,
    /** No list: a call to discovery failed. */
    FAILED
}
