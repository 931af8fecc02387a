package sagefall.faultinjection.invariant;

/** The names of the invariants, as they are printed and written to reports. */
public enum InvariantName {
    /** Each request that a running sidecar took has one final answer, in time, made for it. */
    ONE_ANSWER,
    /** No request is lost by a planned restart. */
    RESTART,
    /** What may have run is retried, runs a second time or is rejected only as its class allows. */
    EFFECT,
    /** Nothing new goes to a server after the notice that it drains or is gone, and the grace. */
    DRAIN,
    /** No cold server is sent more than its capacity by all sidecars that knew that it is cold. */
    COLD,
    /** Attempts go only to servers that the lists of this sidecar have named. */
    LISTED,
    /** No more attempts for a request than allowed. */
    ATTEMPTS,
    /** No sidecar ends on its own, and each ends after SIGTERM. */
    CRASH,
    /** Descriptors and memory at rest are back to what they were before the first request. */
    REST,
    /** Lease terms and the shared snapshot never go back, and each term has one holder. */
    OWNER,
    /** Stand-in servers behave as they report. */
    STAND_IN
}
