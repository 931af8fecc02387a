package sagefall.scenario;

/**
 * A kind of machine.
 *
 * @param queuePerCore places to wait for each core; what comes beyond is turned away unseen
 * @param thrash part by which each request a core beyond {@code thrashAt} slows the machine down
 * @param warmBy whether a cold start warms by time alone or by work done as well
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
