package sagefall.scenario;

/**
 * Retries, timeouts and early disconnects of clients.
 *
 * @param maxRetries maximum number of retries that a client makes for an operation
 * @param attemptTimeoutShare time for which a client waits for the response to each request or
 *     retry, as a share of the deadline
 * @param backoffMillis delay before a retry
 * @param retryAfterCompliance share of the clients that wait for the delay in Retry-After before a
 *     retry
 * @param disconnectShare share of the requests during which the client disconnects early
 * @param marksRetries whether a client marks its retries as retries
 */
public record ClientSettings(
        int maxRetries,
        ValueRange attemptTimeoutShare,
        ValueRange backoffMillis,
        ValueRange retryAfterCompliance,
        ValueRange disconnectShare,
        boolean marksRetries) {}
