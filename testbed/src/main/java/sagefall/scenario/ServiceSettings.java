package sagefall.scenario;

/**
 * The class of requests, the limits of the service and the model of the work.
 *
 * @param idempotency whether a request may be executed twice: pure, token or side_effect
 * @param deduplicationScope which servers recognize a repeated key: all, zone or cell
 * @param latencyObjectiveMillis latency within which a response counts
 * @param deadlineMillis after which a client has given up
 * @param deduplicationWindowMillis how long a key is recognized
 * @param maxAttempts largest number of attempts of a sidecar for a request
 * @param cancellationAllowed whether a sidecar may cancel an attempt
 * @param retryAfterAllowed whether a rejection may carry Retry-After
 * @param workMillis mean work on a core of speed 1
 * @param distribution of the work: lognormal, exponential or constant
 * @param workVariation coefficient of variation of the work; 1 with {@code exponential}
 * @param attemptNoise coefficient of variation of the work between two attempts of one request
 * @param cachedKeySaving share of the work that a key saves if the server served it recently
 * @param keyLifetimeSeconds how long a server keeps a key
 * @param cachedKeysPerCore keys that a server keeps for each core
 * @param reportIntervalMillis between two load reports of a server
 * @param reportNoise relative standard deviation of the values of a load report
 * @param overQuotaWeight weight of a request of a tenant beyond its quota
 * @param quotaOfCapacity sum of the quotas as a share of the capacity
 * @param slowStartInitialShare share of its capacity that a cold server has by the rules
 * @param slowStartSeconds time until a cold server is warm by the rules
 * @param slowStartLimitFactor by how many times its present capacity a cold server may be loaded
 * @param slowStartLimitSeconds the window over which that load is counted
 * @param drainGraceMillis how long after a drain is known requests may still be sent
 * @param answerGraceMillis how long after its deadline a request must be answered
 * @param tickMillis resolution of the clock that sidecars are given
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
