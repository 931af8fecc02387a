package sagefall.balancer.api;

/** Results of attempts. Some results prove that the attempt never ran at the endpoint. */
public enum AttemptResult {
    /** The endpoint sent a response that is not an error. */
    SERVED(false),
    /** The endpoint responded with an error. */
    ERROR(false),
    /** The endpoint rejected the request before running it, for lack of capacity. */
    REJECTED(true),
    /** No response came in time. */
    TIMED_OUT(false),
    /** No connection could be set up, so nothing was sent. */
    NO_CONNECTION(true),
    /** The connection closed before the response was complete. */
    BROKEN(false),
    /** The sidecar or the client cancelled the attempt. */
    CANCELLED(false),
    /**
     * The host sent no part of the attempt, for example because it was too late to start the
     * attempt.
     */
    NOT_SENT(true);

    /** Whether the result proves that the attempt never ran at the endpoint. */
    public final boolean provesNotExecuted;

    AttemptResult(boolean provesNotExecuted) {
        this.provesNotExecuted = provesNotExecuted;
    }
}
