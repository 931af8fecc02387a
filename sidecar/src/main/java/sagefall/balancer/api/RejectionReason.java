package sagefall.balancer.api;

/**
 * Why a request was given up. No host acts on the reason: it is there to be counted and logged,
 * under its {@link #label()}.
 */
public enum RejectionReason {
    /** Shed at random by admission control. */
    ADMISSION("admission"),
    /** The concurrency limit of every zone that could serve it is reached. */
    ZONE_FULL("zone_full"),
    /** It waited in the queue until an answer could no longer meet its latency objective. */
    QUEUE_TIMEOUT("waited"),
    /** The sidecar has as many open requests as the settings allow. */
    OPEN_REQUESTS("in_hand"),
    /** The bound on stream buffers leaves no capacity for it. */
    BUFFER_LIMIT("buffers"),
    /** Too little of its deadline is left. */
    TOO_LATE("too_late"),
    /** It may have run, and its idempotency does not allow a retry. */
    NOT_RETRYABLE("effect"),
    /** It has had the maximum number of attempts. */
    MAX_ATTEMPTS("attempts"),
    /** The retry budget is exhausted. */
    RETRY_BUDGET("retry_budget");

    private final String label;

    RejectionReason(String label) {
        this.label = label;
    }

    /**
     * The word for this reason in the emulator's result files; it stays when a constant is renamed.
     */
    public String label() {
        return label;
    }
}
