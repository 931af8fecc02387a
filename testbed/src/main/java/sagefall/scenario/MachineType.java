package sagefall.scenario;

/**
 * Type of the machines that servers run on.
 *
 * @param name name of the type in the settings of a sidecar
 * @param share share of the servers that have this type, relative to the shares of the other types
 * @param cores number of cores
 * @param speed speed of a core, relative to a core of speed 1
 * @param slotsPerCore maximum number of requests that a server executes concurrently, per core
 * @param queuePerCore maximum length of the queue, per core; a request that arrives at a full queue
 *     is rejected
 * @param contentionPenalty relative slowdown that each request per core above {@code
 *     contentionThreshold} causes
 * @param contentionThreshold maximum number of requests per core without contention
 * @param initialCapacityShare share of its capacity that a server has right after a cold start
 * @param slowStartSeconds time from a cold start until a server is warm
 * @param warmUpBy {@code time} if a server warms up with time alone; {@code work} if executed work
 *     contributes to the warm-up
 * @param pauseIntervalSeconds mean time between two pauses
 * @param pauseMillis duration of a pause
 * @param errorRate share of the requests that fail with an error response
 */
public record MachineType(
        String name,
        double share,
        int cores,
        ValueRange speed,
        ValueRange slotsPerCore,
        ValueRange queuePerCore,
        ValueRange contentionPenalty,
        ValueRange contentionThreshold,
        ValueRange initialCapacityShare,
        ValueRange slowStartSeconds,
        String warmUpBy,
        ValueRange pauseIntervalSeconds,
        ValueRange pauseMillis,
        ValueRange errorRate) {}
