package sagefall.balancer.api;

/** Set of endpoints at which retries are deduplicated by the idempotency key of the request. */
public enum DeduplicationScope {
    /** All endpoints. */
    ALL,
    /** The endpoints in the zone of the first attempt. */
    ZONE,
    /** The endpoints in the cell of the first attempt. */
    CELL
}
