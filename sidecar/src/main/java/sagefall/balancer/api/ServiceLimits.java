package sagefall.balancer.api;

/** What the site allows; open is how many requests an instance may have in hand. */
public record ServiceLimits(
        int maxAttempts,
        boolean cancellationAllowed,
        boolean retryAfterAllowed,
        long maxRetryAfterMicros,
        long idleTimeoutMicros,
        int maxOpenRequests) {}
