package sagefall.balancer.api;

/** How an attempt ended, and whether that proves that the request never ran. */
public enum AttemptResult {
    /** The endpoint answered. */
    SERVED(false),
    /** The endpoint answered with an error of its own. */
    ERROR(false),
    /** The endpoint rejected the request before it ran, since it has no capacity. */
    REJECTED(true),
    /** No answer came in time. */
    TIMED_OUT(false),
    /** No connection came to be, so nothing was sent. */
    NO_CONNECTION(true),
    /** The connection broke before the answer was complete. */
    BROKEN(false),
    /** It was cancelled by this instance or by the client. */
    CANCELLED(false),
    /** The host sent nothing of it, for instance since it was too late. */
    NOT_SENT(true);

    /** Whether the result proves that the request never ran. */
    public final boolean provesNotExecuted;

    AttemptResult(boolean provesNotRun) {
        this.provesNotExecuted = provesNotRun;
    }
}
