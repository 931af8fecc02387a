package sagefall.faultinjection.invariant;

/** Names the invariants in printed results and reports. */
public enum InvariantName {
    /** Each request sent to a running sidecar gets one correct final response in time. */
    ONE_ANSWER,
    /** No request is lost by a planned restart. */
    RESTART,
    /**
     * A request that has possibly run is retried, run again or rejected only if its request class
     * allows this.
     */
    EFFECT,
    /** No attempt is sent to a draining or removed server after the grace period. */
    DRAIN,
    /** Sidecars notified of a cold server do not send more requests than the server can process. */
    COLD,
    /** A sidecar sends attempts only to addresses that its endpoint lists have named. */
    LISTED,
    /** No request has more attempts than its request class allows. */
    ATTEMPTS,
    /** No sidecar exits unexpectedly. Each sidecar exits with status 0 after SIGTERM. */
    CRASH,
    /** Sidecars use about as many descriptors and as much memory after the load as before it. */
    REST,
    /**
     * Lease terms, and the term and revision of the shared snapshot, never decrease. Each lease
     * term has only one leader.
     */
    OWNER,
    /**
     * Stand-in servers receive only requests that a client sent. They report at least the capacity
     * of their slow start.
     */
    STAND_IN
}
