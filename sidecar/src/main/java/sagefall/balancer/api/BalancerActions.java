package sagefall.balancer.api;

/**
 * Actions of the balancer. The host implements this interface and carries out the actions in the
 * order of the calls.
 */
public interface BalancerActions {
    /**
     * Sends an attempt of a request.
     *
     * @param requestId id of the open request
     * @param endpoint id of the endpoint
     * @param timeoutMicros duration after which the attempt is cancelled; 0 to bound it only by the
     *     deadline of the request
     * @param latestStartMicros exclusive upper bound of the time at which the first byte may be
     *     sent, because the request could take effect twice if it were sent later; {@link
     *     Long#MAX_VALUE} if there is no bound
     */
    void send(String requestId, long endpoint, long timeoutMicros, long latestStartMicros);

    /**
     * Rejects a request: completes it with a response that allows the client to retry it.
     *
     * @param retryAfterMicros duration that the client should wait before it retries; 0 to send no
     *     Retry-After
     * @param reason reason of the rejection, for logs and counters only
     */
    void reject(String requestId, long retryAfterMicros, RejectionReason reason);

    /**
     * Fails a request that has possibly run: completes it with an error.
     *
     * @param reason reason of the failure, for logs and counters only
     */
    void fail(String requestId, RejectionReason reason);

    /** Cancels an attempt that has not ended; the host still reports its outcome. */
    void cancel(String requestId, int attempt);

    /**
     * Schedules a call of {@link LoadBalancer#onTimer}. A timer can't be cancelled.
     *
     * @param atMicros point in time of the call
     * @param token value that is passed to the call
     */
    void scheduleTimer(long atMicros, long token);

    /** Closes the sidecar's idle connections to an endpoint. */
    void closeIdleConnections(long endpoint);

    /**
     * Polls discovery. The host then calls {@link LoadBalancer#onEndpointList} with a list or a
     * failure.
     */
    void requestEndpointUpdates();

    /** Writes a log line for operators, in the form of {@code sagefall.logging.LogLine}. */
    void log(String line);
}
