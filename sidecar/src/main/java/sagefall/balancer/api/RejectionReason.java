package sagefall.balancer.api;

/**
 * Reason why a request was rejected or failed. Hosts only count and log the reason, under the name
 * that {@link #label()} returns.
 */
public enum RejectionReason {
    /** Admission control shed the request at random. */
    ADMISSION("admission"),
    /** A zone is at its concurrency limit, and no endpoint of the other zones has capacity. */
    ZONE_FULL("zone_full"),
    /** The request was queued for so long that a response would have come too late to be of use. */
    QUEUE_TIMEOUT("waited"),
    /** The sidecar has more open requests than the settings allow. */
    OPEN_REQUESTS("in_hand"),
    /** The stream buffers of the open requests exceed their bound. */
    BUFFER_LIMIT("buffers"),
    /** Too little time is left for a response that is still of use to the client. */
    TOO_LATE("too_late"),
    /**
     * The request has possibly run, or its body is no longer buffered, so a retry is not allowed.
     */
    NOT_RETRYABLE("effect"),
    /** The request has had the maximum number of attempts. */
    MAX_ATTEMPTS("attempts"),
    /** The retry budget is exhausted. */
    RETRY_BUDGET("retry_budget");

    private final String label;

    RejectionReason(String label) {
        this.label = label;
    }

    /**
     * Returns the name of this reason in the emulator's result files. The name stays unchanged if
     * the constant is renamed.
     */
    public String label() {
        return label;
    }
}
