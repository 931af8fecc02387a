package sagefall.discovery;

/**
 * How long discovery may hold its answer until there is a change, and how long after that the
 * answer may take; then the call is taken for lost. {@link Backoff} has the reason of the figures.
 */
public record DiscoveryTimeouts(long holdMillis, long answerMillis) {

    /**
     * The timeouts for a kind of discovery.
     *
     * @param onAsk whether lists are polled from a shared service; else an agent on the own machine
     *     pushes them
     */
    public static DiscoveryTimeouts of(boolean onAsk) {
        return onAsk ? Backoff.SERVICE_TIMEOUTS : Backoff.AGENT_TIMEOUTS;
    }
}
