package sagefall.balancer.api;

/**
 * Kinds of list: changes to the last one, a complete one, the one kept on disk, or a failed call.
 */
public enum EndpointListKind {
    CHANGES,
    COMPLETE,
    CACHED,
    FAILED
}
