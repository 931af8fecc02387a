package sagefall.scenario;

/**
 * Retries, timeouts and early disconnects of clients.
 *
 * @param maxRetries maximum number of retries of a request by the client
 * @param attemptTimeoutShare timeout of each request or retry of a client, as a share of the
 *     deadline
 * @param backoffMillis delay before a retry
 * @param retryAfterCompliance share of the clients that wait as long as Retry-After says
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
