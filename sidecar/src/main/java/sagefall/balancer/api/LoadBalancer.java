package sagefall.balancer.api;

import java.util.List;

/**
 * What a load balancer is told and what it answers. One instance belongs to one client process; it
 * is driven by one thread, reads no clock (every event brings the time) and acts only through
 * {@link BalancerActions}.
 */
public interface LoadBalancer {

    /**
     * A list with its revision: one of a lower revision than what was told before is behind that.
     */
    void onEndpointList(
            long nowMicros, EndpointListKind kind, long revision, List<ListedEndpoint> list);

    /** One that is behind nothing. */
    default void onEndpointList(long nowMicros, EndpointListKind kind, List<ListedEndpoint> list) {
        onEndpointList(nowMicros, kind, Long.MAX_VALUE, list);
    }

    /**
     * What an earlier life of this instance had been told last, before any list; those that were
     * gone are among it.
     *
     * @param fresh whether it is young enough to tell how things are, and not only what to stay
     *     away from
     */
    default void onRecoveredEndpoints(
            long nowMicros, long revision, boolean fresh, List<ListedEndpoint> list) {}

    void onRequest(long nowMicros, Request request);

    /** Bound on the buffers of all requests that stream, from now on; at first there is none. */
    void onBufferLimit(long nowMicros, long mostBytes);

    /**
     * The body of an upload has come whole; its client's time runs from here, until that deadline.
     */
    void onUploadComplete(long nowMicros, String requestId, long deadlineMicros);

    /**
     * More of an upload's body has been sent on than is kept: it can't be sent to another server.
     */
    void onReplayBufferExceeded(long nowMicros, String requestId);

    /** The answer of a streamed class has begun: the attempt is the client's now. */
    void onStreamStarted(
            long nowMicros, String requestId, int attempt, long server, long elapsedMicros);

    void onAttemptOutcome(long nowMicros, AttemptOutcome outcome);

    /** The client left, or was answered by other means: nothing is owed any more. */
    void onClientDisconnected(long nowMicros, String requestId);

    void onTimer(long nowMicros, long token);
}
