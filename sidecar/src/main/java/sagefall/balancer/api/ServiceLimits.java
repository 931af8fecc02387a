package sagefall.balancer.api;

/**
 * What the site allows.
 *
 * @param maxAttempts most attempts of a request, the first among them
 * @param cancellationAllowed whether attempts may be cancelled
 * @param retryAfterAllowed whether a rejection may say when to retry
 * @param maxRetryAfterMicros the latest that it may say
 * @param idleTimeoutMicros after which the platform closes an idle connection
 * @param maxOpenRequests most open requests of an instance
 */
public record ServiceLimits(
        int maxAttempts,
        boolean cancellationAllowed,
        boolean retryAfterAllowed,
        long maxRetryAfterMicros,
        long idleTimeoutMicros,
        int maxOpenRequests) {}
