package sagefall.balancer.api;

/**
 * Limits of the service on attempts, rejections and connections.
 *
 * @param maxAttempts maximum number of attempts of a request, including the first
 * @param cancellationAllowed whether attempts may be cancelled
 * @param retryAfterAllowed whether a rejection may carry a Retry-After
 * @param maxRetryAfterMicros maximum Retry-After of a rejection
 * @param idleTimeoutMicros time after which the platform closes an idle connection
 * @param maxOpenRequests maximum number of open requests of an instance
 */
public record ServiceLimits(
        int maxAttempts,
        boolean cancellationAllowed,
        boolean retryAfterAllowed,
        long maxRetryAfterMicros,
        long idleTimeoutMicros,
        int maxOpenRequests) {}
