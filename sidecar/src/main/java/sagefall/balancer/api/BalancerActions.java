package sagefall.balancer.api;

/** What the balancer may do, in the order in which it asks for it. */
public interface BalancerActions {
    /**
     * Sends an attempt, which is given up after the timeout; 0 for as long as the client waits.
     *
     * @param latestMicros from when on its first byte may not go out any more, since its effect
     *     could come twice then; {@link Long#MAX_VALUE} where any time is right
     */
    void send(String requestId, long server, long timeoutMicros, long latestMicros);

    void reject(String requestId, long retryAfterMicros, RejectionReason why);

    void fail(String requestId, RejectionReason why);

    void cancel(String requestId, int attempt);

    /** Asks for {@link LoadBalancer#onTimer} at that time; a timer can't be taken back. */
    void scheduleTimer(long atMicros, long token);

    /** Closes this instance's idle connections to a server. */
    void closeIdleConnections(long server);

    /** Asks discovery for changes from now on; answered by a list or a failure. */
    void requestEndpointUpdates();

    /** A line for on-call staff. */
    void log(String line);
}
