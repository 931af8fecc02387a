package sagefall.balancer.request;

/** Where a request stands in this instance; the states exclude each other. */
public enum RequestState {
    /** Being dispatched, or one of its attempts is in flight. */
    ACTIVE,
    /** In the request queue, until an endpoint has capacity. */
    QUEUED,
    /** Its client has the final answer, or left. Attempts may still be in flight. */
    CLOSED
}
