package sagefall.scenario;

/**
 * How clients retry and give up.
 *
 * @param maxRetries largest number of retries of a client
 * @param attemptTimeoutShare share of the deadline after which a client abandons an attempt
 * @param backoffMillis time before a retry
 * @param retryAfterCompliance share of the clients that heed Retry-After
 * @param disconnectShare share of the attempts that the client disconnects from early
 * @param marksRetries whether a retry is marked as one
 */
public record ClientSettings(
        int maxRetries,
        ValueRange attemptTimeoutShare,
        ValueRange backoffMillis,
        ValueRange retryAfterCompliance,
        ValueRange disconnectShare,
        boolean marksRetries) {}
