package sagefall.balancer.api;

/** Whether a request may run more than once. */
public enum Idempotency {
    /** It may run any number of times. */
    IDEMPOTENT,
    /** Servers drop repeats by its key, within a scope and a window of time. */
    IDEMPOTENCY_KEY,
    /** It may run once at most. */
    NOT_IDEMPOTENT
}
