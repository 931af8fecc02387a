package sagefall.scenario;

/**
 * Request class and limits of the service, and model of the work that requests cause.
 *
 * @param idempotency whether a request may be executed twice: {@code pure}, {@code token} or {@code
 *     side_effect}
 * @param deduplicationScope servers that recognize a repeated idempotency key: {@code all}, {@code
 *     zone} or {@code cell}
 * @param latencyTargetMillis latency target; a slower response is late
 * @param deadlineMillis time from the arrival of a request until the client stops waiting for the
 *     response
 * @param deduplicationWindowMillis time for which an idempotency key is recognized
 * @param maxAttempts maximum number of attempts of a request by a sidecar
 * @param cancellationAllowed whether a sidecar may cancel an attempt
 * @param retryAfterAllowed whether a rejection may carry Retry-After
 * @param workMillis mean work of a request, as execution time on a core of speed 1
 * @param distribution distribution of the work: {@code lognormal}, {@code exponential} or {@code
 *     constant}
 * @param workVariation coefficient of variation of the work; used only for the distribution {@code
 *     lognormal}
 * @param attemptNoise coefficient of variation of the work between two attempts of one request
 * @param cachedKeySaving share of the work that is saved for a key that the server has cached
 * @param keyLifetimeSeconds time for which a server caches a key
 * @param cachedKeysPerCore number of keys that a server caches, per core
 * @param reportIntervalMillis time between two load reports of a server
 * @param reportNoise relative standard deviation of the values of a load report
 * @param overQuotaWeight weight of a request beyond its tenant's quota
 * @param quotaOfCapacity sum of the quotas, as a share of the capacity
 * @param slowStartInitialShare share of its capacity that a cold server has, according to the
 *     settings of sidecars
 * @param slowStartSeconds time until a cold server is warm, according to the settings of sidecars
 * @param slowStartLimitFactor maximum load that a cold server withstands, as a multiple of its
 *     present capacity
 * @param slowStartLimitSeconds length of the time window in which the load of a cold server is
 *     counted
 * @param drainGraceMillis time for which a sidecar may still send requests to a server after the
 *     sidecar was notified that the server drains
 * @param responseGraceMillis maximum time from the deadline of a request until the request
 *     completes
 * @param tickMillis resolution of the clock of the sidecars
 */
public record ServiceSettings(
        String idempotency,
        String deduplicationScope,
        double latencyTargetMillis,
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
        double responseGraceMillis,
        double tickMillis) {}
