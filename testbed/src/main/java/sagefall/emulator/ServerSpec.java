package sagefall.emulator;

/**
 * The properties of a server.
 *
 * @param machineType index of the machine type
 * @param cores number of cores
 * @param speed speed of each core; work is given for a core of speed 1
 * @param slots maximum number of requests that are executed concurrently
 * @param queueCapacity maximum number of queued requests; the server rejects further requests
 * @param contentionPenalty relative slowdown that each request per core above {@code
 *     contentionThreshold} causes
 * @param contentionThreshold maximum number of requests per core without contention
 * @param initialCapacityShare share of the full capacity at a cold start
 * @param slowStartMicros time from a cold start until the server is warm
 * @param warmsUpByWork whether completed work shortens the warm-up; if false, the warm-up depends
 *     only on time
 * @param errorRate share of the requests whose response is an error
 * @param pauseIntervalMicros mean time between two pauses of the server process
 * @param pauseMicros duration of a pause of the server process; 0 for no pauses
 * @param maxConnections maximum number of open connections
 * @param connectionTableCost share of the speed that the server loses if {@code maxConnections}
 *     connections are open
 * @param cachedKeys number of keys that the server caches
 * @param cachedKeySaving share of the work of a request that is saved if its key is cached
 * @param keyLifetimeMicros time for which a key is cached after the last request with the key
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
