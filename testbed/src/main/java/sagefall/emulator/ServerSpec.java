package sagefall.emulator;

/** What a server is made of. Speeds are relative to a core of 1. */
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
