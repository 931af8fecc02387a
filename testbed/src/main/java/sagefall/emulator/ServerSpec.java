package sagefall.emulator;

/**
 * The properties of a server.
 *
 * @param machineType index of the machine type
 * @param cores number of cores
 * @param speed speed of each core; work is given for a core of speed 1
 * @param slots maximum number of requests that are executed concurrently
 * @param queueCapacity maximum number of queued requests; further requests are rejected
 * @param contentionPenalty relative slowdown by each request per core beyond the threshold
 * @param contentionThreshold requests per core beyond which contention begins
 * @param initialCapacityShare share of the full capacity at a cold start
 * @param slowStartMicros time from a cold start until the server is warm
 * @param warmsUpByWork whether the server warms up with the work done as well as with time
 * @param errorRate share of the requests whose response is an error
 * @param pauseIntervalMicros mean time between two pauses
 * @param pauseMicros duration of a pause
 * @param maxConnections maximum number of open connections
 * @param connectionTableCost share of the speed that is lost with all connections in use
 * @param cachedKeys number of keys that the server caches
 * @param cachedKeySaving share of the work that a cached key saves
 * @param keyLifetimeMicros time for which a key is cached
 * @param reportIntervalMicros time between two load reports
 */
public record ServerSpec(
        int machineType,
        int cores,
        double speed,
        int slots,
        int queueCapacity,
        double contentionPenalty,
        double contentionThreshold,
        double initialCapacityShare,
        long slowStartMicros,
        boolean warmsUpByWork,
        double errorRate,
        long pauseIntervalMicros,
        long pauseMicros,
        int maxConnections,
        double connectionTableCost,
        int cachedKeys,
        double cachedKeySaving,
        long keyLifetimeMicros,
        long reportIntervalMicros) {}
