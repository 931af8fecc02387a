package sagefall.balancer.api;

import java.util.List;

/**
 * Balances the requests of one client process over the endpoints of a service. The host calls the
 * methods of an instance from one thread, one method for each kind of event. The balancer reads no
 * clock: each event carries the time. The balancer acts only through {@link BalancerActions}.
 */
public interface LoadBalancer {

    /**
     * Handles an endpoint list, or the failure of a call to discovery.
     *
     * @param revision revision of the list; a lower revision means an older list
     */
    void onEndpointList(
            long nowMicros, EndpointListKind kind, long revision, List<ListedEndpoint> list);

    /**
     * Handles an endpoint list without a revision. The list is treated as at least as recent as any
     * other.
     */
    default void onEndpointList(long nowMicros, EndpointListKind kind, List<ListedEndpoint> list) {
        onEndpointList(nowMicros, kind, Long.MAX_VALUE, list);
    }

    /**
     * Handles the endpoint list that an earlier incarnation of this instance has persisted. The
     * list includes removed endpoints. The host calls this method before it passes any other list.
     *
     * @param revision revision of the persisted list
     * @param fresh whether the list is recent enough to replace an older cached list; otherwise it
     *     only excludes endpoints that were draining or removed
     */
    default void onRecoveredEndpoints(
            long nowMicros, long revision, boolean fresh, List<ListedEndpoint> list) {}

    /**
     * Handles a request that has arrived. Ignores the request if another request with the same id
     * is open.
     */
    void onRequest(long nowMicros, Request request);

    /**
     * Sets the bound on the stream buffers of all open requests, in bytes. There is no bound before
     * the first call.
     */
    void onBufferLimit(long nowMicros, long maxBytes);

    /**
     * Handles the last byte of an upload. The latency of the request is measured from now on.
     *
     * @param deadlineMicros deadline that replaces the earlier deadline of the request
     */
    void onUploadComplete(long nowMicros, String requestId, long deadlineMicros);

    /**
     * Shortens the time of an open request: the host can't respond after the given deadline, for
     * example because it shuts down. Ignores unknown requests and later deadlines.
     *
     * @param deadlineMicros deadline that replaces the earlier deadline of the request
     */
    default void onDeadlineShortened(long nowMicros, String requestId, long deadlineMicros) {}

    /**
     * Handles an overflow of the replay buffer of an upload. More of the body has been forwarded
     * than the buffer holds, so the upload can't be sent to another endpoint.
     */
    void onReplayBufferExceeded(long nowMicros, String requestId);

    /**
     * Handles the first part of a response to a request of a streaming class. The request is not
     * retried from now on.
     *
     * @param elapsedMicros time from the sending of the attempt, or from the last byte of an
     *     upload, to the first part of the response
     */
    void onStreamStarted(
            long nowMicros, String requestId, int attempt, long endpoint, long elapsedMicros);

    /** Handles the end of an attempt; the host calls it once for each attempt that was sent. */
    void onAttemptOutcome(long nowMicros, AttemptOutcome outcome);

    /**
     * Closes a request that needs no response from this instance any more: the client has
     * disconnected, or has got the response from elsewhere.
     */
    void onClientDisconnected(long nowMicros, String requestId);

    /** Handles a timer that has fired, see {@link BalancerActions#scheduleTimer}. */
    void onTimer(long nowMicros, long token);
}
