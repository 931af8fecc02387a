package sagefall.balancer.api;

/**
 * A class of requests: its idempotency, its times and the weight of its answers.
 *
 * @param name its name in the settings
 * @param idempotency whether a request may run more than once
 * @param deduplicationScope which servers drop repeats by the idempotency key
 * @param deduplicationWindowMicros for how long they do, from the first attempt on; not negative
 * @param latencyObjectiveMicros what an answer should take at most; 0 if there is no objective
 * @param deadlineMicros what an answer may take at most; not negative
 * @param priorityWeight weight of an answer in time; not negative
 * @param lateWeightShare part of that weight that a late answer has; not negative
 * @param streaming whether bodies pass through as they arrive
 */
public record RequestClass(
        String name,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        long deduplicationWindowMicros,
        long latencyObjectiveMicros,
        long deadlineMicros,
        double priorityWeight,
        double lateWeightShare,
        boolean streaming) {

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if a time or a weight is negative
     */
    public RequestClass {
        Preconditions.require(
                latencyObjectiveMicros >= 0
                        && deadlineMicros >= 0
                        && deduplicationWindowMicros >= 0,
                "class '" + name + "' has a negative time");
        Preconditions.require(
                priorityWeight >= 0 && lateWeightShare >= 0,
                "class '" + name + "' has a negative worth");
    }

    /**
     * What an answer should take at most, in microseconds: the latency objective, else the
     * deadline; at least 1.
     */
    public long targetLatencyMicros() {
        return Math.max(1, latencyObjectiveMicros > 0 ? latencyObjectiveMicros : deadlineMicros);
    }
}
