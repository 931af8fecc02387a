package sagefall.balancer.api;

/** What the balancer may do, in the order in which it asks for it. The host implements it. */
public interface BalancerActions {
    /**
     * Sends an attempt of a request.
     *
     * @param requestId id of the open request
     * @param server id of the endpoint
     * @param timeoutMicros after which it is given up; 0 for as long as the client waits
     * @param latestMicros from when on its first byte may not go out any more, since its effect
     *     could come twice then; {@link Long#MAX_VALUE} where any time is right
     */
    void send(String requestId, long server, long timeoutMicros, long latestMicros);

    /**
     * Ends a request by telling its client that nothing was done, so that it may retry.
     *
     * @param retryAfterMicros after which a retry is welcome; 0 where nothing is said of that
     * @param why for logs and counters only
     */
    void reject(String requestId, long retryAfterMicros, RejectionReason why);

    /**
     * Ends a request that may have run by an error.
     *
     * @param why for logs and counters only
     */
    void fail(String requestId, RejectionReason why);

    /** Cancels an attempt without an outcome; its outcome is still reported. */
    void cancel(String requestId, int attempt);

    /** Asks for {@link LoadBalancer#onTimer} at that time; a timer can't be taken back. */
    void scheduleTimer(long atMicros, long token);

    /** Closes this instance's idle connections to an endpoint. */
    void closeIdleConnections(long server);

    /** Polls discovery for changes from now on; answered by a list or a failure. */
    void requestEndpointUpdates();

    /** Writes a line for on-call staff, in the form of {@code sagefall.logging.LogLine}. */
    void log(String line);
}
