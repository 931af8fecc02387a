package sagefall.discovery;

/**
 * Timeouts of a call to discovery. {@link Backoff} explains the values.
 *
 * @param holdMillis maximum time for which discovery holds the response until there is a change
 * @param responseMillis response timeout: time after the end of the hold time at which a call
 *     without a response fails
 */
public record DiscoveryTimeouts(long holdMillis, long responseMillis) {

    /**
     * Returns the timeouts for a kind of discovery.
     *
     * @param polls whether the endpoint list is polled from a shared service; otherwise an agent on
     *     the local machine pushes changes
     */
    public static DiscoveryTimeouts of(boolean polls) {
        return polls ? Backoff.SERVICE_TIMEOUTS : Backoff.AGENT_TIMEOUTS;
    }
}
