package sagefall.balancer.api;

/** Whether a request may run more than once. */
public enum Idempotency {
    IDEMPOTENT,
    IDEMPOTENCY_KEY,
    NOT_IDEMPOTENT
}
