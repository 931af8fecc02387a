package sagefall.balancer.api;

/** Whether and how a request may run more than once. */
public enum Idempotency {
    /** The request may run any number of times. */
    IDEMPOTENT,
    /**
     * The request takes effect once, because endpoints deduplicate retries by the idempotency key
     * of the request, within a deduplication scope and window.
     */
    IDEMPOTENCY_KEY,
    /** The request may run at most once. */
    NOT_IDEMPOTENT
}
