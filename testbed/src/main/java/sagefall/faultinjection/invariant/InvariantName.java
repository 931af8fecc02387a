package sagefall.faultinjection.invariant;

/** Names of the invariants, as they are printed and written to reports. */
public enum InvariantName {
    /** Each request sent to a running sidecar has one correct final response, in time. */
    ONE_ANSWER,
    /** No request is lost by a planned restart. */
    RESTART,
    /** A request that may have run is retried, run again or rejected only as its class allows. */
    EFFECT,
    /** No attempt is sent to a draining or removed server after the grace period. */
    DRAIN,
    /** Sidecars notified of a cold server do not send more requests than it can process. */
    COLD,
    /** A sidecar sends attempts only to addresses that its endpoint lists have named. */
    LISTED,
    /** No request has more attempts than allowed. */
    ATTEMPTS,
    /** No sidecar exits unexpectedly, and each exits with status 0 after SIGTERM. */
    CRASH,
    /** After the load, sidecars use about as many descriptors and as much memory as before. */
    REST,
    /** Lease terms and revisions of the shared snapshot never decrease; a term has one leader. */
    OWNER,
    /** Stand-in servers receive only requests of clients, and report a plausible capacity. */
    STAND_IN
}
