package sagefall.emulator;

/**
 * The properties of a server.
 *
 * @param machineType index of its kind of machine
 * @param cores number of cores
 * @param speed relative to a core of speed 1
 * @param slots requests executed at a time
 * @param queueCapacity length of the queue; a request beyond it is rejected
 * @param contentionPenalty by which each request a core beyond the threshold slows it down
 * @param contentionThreshold requests a core from which on contention begins
 * @param initialCapacityShare share of its capacity at a cold start
 * @param slowStartMicros until it is warm
 * @param warmsUpByWork whether it warms up by work done as well as by time
 * @param errorRate share of the requests answered with an error
 * @param pauseIntervalMicros between two pauses
 * @param pauseMicros length of a pause
 * @param maxConnections connections that it accepts
 * @param connectionTableCost share of its speed lost with all connections in use
 * @param cachedKeys how many keys it keeps
 * @param cachedKeySaving share of the work that a cached key saves
 * @param keyLifetimeMicros how long it keeps a key
 * @param reportIntervalMicros between two load reports
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
