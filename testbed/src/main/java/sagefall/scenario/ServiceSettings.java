package sagefall.scenario;

/**
 * The class of requests, the rules and the prices.
 *
 * @param workMillis mean work on a core of speed 1
 * @param spread coefficient of variation of the work; 1 with {@code exponential}
 * @param keyGain part of the work that a key spares that the server met in the last seconds
 * @param reportMillis between two figures that a server reports
 */
public record ServiceSettings(
        String idempotency,
        String deduplicationScope,
        double latencyObjectiveMillis,
        double deadlineMillis,
        double deduplicationWindowMillis,
        int maxAttempts,
        boolean cancellationAllowed,
        boolean retryAfterAllowed,
        ValueRange workMillis,
        String distribution,
        ValueRange workVariation,
        ValueRange attemptNoise,
        ValueRange cachedKeySaving,
        ValueRange keyLifetimeSeconds,
        ValueRange cachedKeysPerCore,
        ValueRange reportIntervalMillis,
        ValueRange reportNoise,
        double overQuotaWeight,
        ValueRange quotaOfCapacity,
        double slowStartInitialShare,
        double slowStartSeconds,
        double slowStartLimitFactor,
        double slowStartLimitSeconds,
        double drainGraceMillis,
        double answerGraceMillis,
        double tickMillis) {}
