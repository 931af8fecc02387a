package sagefall.scenario;

/**
 * A kind of machine.
 *
 * @param name as the settings of a sidecar list it
 * @param share of the servers, relative to the other kinds
 * @param cores number of cores
 * @param speed relative to a core of speed 1
 * @param slotsPerCore requests executed at a time for each core
 * @param queuePerCore length of the queue for each core; a request beyond it is rejected
 * @param contentionPenalty by which each request a core beyond the threshold slows the machine down
 * @param contentionThreshold requests a core from which on contention begins
 * @param initialCapacityShare share of its capacity at a cold start
 * @param slowStartSeconds until it is warm
 * @param warmUpBy whether it warms up by time alone or by work done as well
 * @param pauseIntervalSeconds between two pauses
 * @param pauseMillis length of a pause
 * @param errorRate share of the requests answered with an error
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
