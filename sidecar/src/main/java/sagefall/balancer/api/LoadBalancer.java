package sagefall.balancer.api;

import java.util.List;

/**
 * The events that a load balancer is notified of. One instance belongs to one client process; it is
 * driven by one thread, reads no clock (every event brings the time) and acts only through {@link
 * BalancerActions}.
 */
public interface LoadBalancer {

    /**
     * An endpoint list has come, or a call to discovery has failed.
     *
     * @param revision of the list; a list of a lower revision than one before is behind that
     */
    void onEndpointList(
            long nowMicros, EndpointListKind kind, long revision, List<ListedEndpoint> list);

    /** An endpoint list has come that is behind no other. */
    default void onEndpointList(long nowMicros, EndpointListKind kind, List<ListedEndpoint> list) {
        onEndpointList(nowMicros, kind, Long.MAX_VALUE, list);
    }

    /**
     * What an earlier incarnation of this instance had persisted, before any list; endpoints that
     * had been removed are among it.
     *
     * @param fresh whether it is young enough to say how things are, and not only what to stay away
     *     from
     */
    default void onRecoveredEndpoints(
            long nowMicros, long revision, boolean fresh, List<ListedEndpoint> list) {}

    /** A request has arrived; one whose id is open is ignored. */
    void onRequest(long nowMicros, Request request);

    /**
     * Sets the bound on the buffers of all requests that stream, in bytes; at first there is none.
     */
    void onBufferLimit(long nowMicros, long mostBytes);

    /** The body of an upload is complete; its client's time runs from here, until that deadline. */
    void onUploadComplete(long nowMicros, String requestId, long deadlineMicros);

    /**
     * More of an upload's body has been forwarded than the replay buffer holds: it can't be sent to
     * another endpoint.
     */
    void onReplayBufferExceeded(long nowMicros, String requestId);

    /**
     * The answer of a streamed class has begun: the request stays with that attempt.
     *
     * @param elapsedMicros time from the attempt's sending, for an upload from its last byte
     */
    void onStreamStarted(
            long nowMicros, String requestId, int attempt, long server, long elapsedMicros);

    /** An attempt has ended; each that was sent does, once. */
    void onAttemptOutcome(long nowMicros, AttemptOutcome outcome);

    /** The client left, or was answered by other means: the request is closed. */
    void onClientDisconnected(long nowMicros, String requestId);

    /** A timer that was asked for has fired. */
    void onTimer(long nowMicros, long token);
}
