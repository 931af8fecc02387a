package sagefall.balancer.api;

/** Which servers drop the repeats of a keyed request. */
public enum DeduplicationScope {
    ALL,
    ZONE,
    CELL
}
