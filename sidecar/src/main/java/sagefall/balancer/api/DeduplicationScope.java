package sagefall.balancer.api;

/** Which servers drop the repeats of a request with an idempotency key. */
public enum DeduplicationScope {
    /** All servers, wherever the first attempt went. */
    ALL,
    /** Those of the zone that the first attempt went to. */
    ZONE,
    /** Those of the cell that the first attempt went to. */
    CELL
}
