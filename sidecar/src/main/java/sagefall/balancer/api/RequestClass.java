package sagefall.balancer.api;

/** A class of requests: its effect, its times and what an answer is worth. */
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

    /** What an answer should take at most, in microseconds: the aim, else the deadline. */
    public long targetLatencyMicros() {
        return Math.max(1, latencyObjectiveMicros > 0 ? latencyObjectiveMicros : deadlineMicros);
    }
}
