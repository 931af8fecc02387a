package sagefall.balancer.api;

/** How an attempt ended, and whether that proves that the request never ran. */
public enum AttemptResult {
    SERVED(false),
    ERROR(false),
    REJECTED(true),
    TIMED_OUT(false),
    NO_CONNECTION(true),
    BROKEN(false),
    CANCELLED(false),
    NOT_SENT(true);

    public final boolean provesNotRun;

    AttemptResult(boolean provesNotRun) {
        this.provesNotRun = provesNotRun;
    }
}
