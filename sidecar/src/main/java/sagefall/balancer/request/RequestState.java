package sagefall.balancer.request;

/** States of a request. */
public enum RequestState {
    /** The request is being dispatched, or one of its attempts is in flight. */
    ACTIVE,
    /** The request is queued until an endpoint has capacity. */
    QUEUED,
    /**
     * The client has got the final response, or has disconnected. Attempts may still be in flight.
     */
    CLOSED
}
