package sagefall.balancer.api;

/**
 * A request class: idempotency, latency target, deadline and weight of its requests.
 *
 * @param name name of the class in the settings
 * @param idempotency whether a request may run more than once
 * @param deduplicationScope endpoints at which retries are deduplicated by the idempotency key
 * @param deduplicationWindowMicros time for which retries are deduplicated, measured from the first
 *     attempt; not negative
 * @param latencyTargetMicros latency target: a response with a higher latency is late; 0 if the
 *     class has no latency target; not negative
 * @param deadlineMicros maximum time from the arrival of a request to its response; not negative
 * @param priorityWeight weight of a response that is not late; not negative
 * @param lateWeightShare weight of a late response, as a fraction of {@code priorityWeight}; not
 *     negative
 * @param streaming whether bodies are forwarded as they arrive
 */
public record RequestClass(
        String name,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        long deduplicationWindowMicros,
        long latencyTargetMicros,
        long deadlineMicros,
        double priorityWeight,
        double lateWeightShare,
        boolean streaming) {

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if a duration or a weight is negative
     */
    public RequestClass {
        Preconditions.require(
                latencyTargetMicros >= 0 && deadlineMicros >= 0 && deduplicationWindowMicros >= 0,
                "class '" + name + "' has a negative duration");
        Preconditions.require(
                priorityWeight >= 0 && lateWeightShare >= 0,
                "class '" + name + "' has a negative weight");
    }

    /**
     * Returns the latency target in microseconds, or the deadline if the class has no latency
     * target; at least 1.
     */
    public long latencyTargetOrDeadlineMicros() {
        return Math.max(1, latencyTargetMicros > 0 ? latencyTargetMicros : deadlineMicros);
    }
}
