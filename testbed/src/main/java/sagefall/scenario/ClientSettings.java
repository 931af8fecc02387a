package sagefall.scenario;

/**
 * How clients try again and give up.
 *
 * @param retries most further tries of a client
 * @param tryShare part of the whole deadline after which a client gives a try up
 * @param waitMillis wait before a further try
 * @param honour part of the clients that heed when they are told to come back
 * @param leave part of the tries that their client leaves early
 */
public record ClientSettings(
        int maxRetries,
        ValueRange attemptTimeoutShare,
        ValueRange backoffMillis,
        ValueRange retryAfterCompliance,
        ValueRange disconnectShare,
        boolean marksRetries) {}
