package sagefall.balancer.request;

import sagefall.balancer.api.AttemptResult;
import sagefall.balancer.health.Endpoint;

/**
 * An attempt: one sending of a request to one endpoint. Attempts are compared by identity. All
 * points in time are in microseconds of the host's clock.
 */
public final class Attempt implements PossibleExecution {
    private final PendingRequest request;
    private final Endpoint endpoint;
    private final int number;
    private final long sentAt;
    private final long connectionIdleMicros;
    private final double typicalMicros;
    private final double expectedMicros;
    private final boolean onNewConnection;
    private AttemptState state = AttemptState.IN_FLIGHT;
    private AttemptResult result;
    private long awaitedSince;
    private boolean awaited;
    private boolean suspected;

    /**
     * Creates an attempt that is sent now.
     *
     * @param typicalMicros typical latency of the request class, in microseconds
     * @param onTrustedConnection whether the attempt is sent on an open connection that is trusted
     *     to be alive; otherwise a new connection is set up
     */
    public Attempt(
            PendingRequest request,
            Endpoint endpoint,
            long now,
            double typicalMicros,
            boolean onTrustedConnection) {
        this.request = request;
        this.endpoint = endpoint;
        this.typicalMicros = typicalMicros;
        number = request.attempts().size();
        sentAt = now;
        awaitedSince = now;
        expectedMicros = typicalMicros * Math.max(1, endpoint.latency().meanRatio());
        onNewConnection = !onTrustedConnection;
        connectionIdleMicros = onTrustedConnection ? now - endpoint.connection().lastUsedAt() : 0;
    }

    /** Returns the request of the attempt. */
    public PendingRequest request() {
        return request;
    }

    /** Returns the endpoint that the attempt was sent to. */
    public Endpoint endpoint() {
        return endpoint;
    }

    /** Returns the number of the attempt among the attempts of its request, from 0. */
    public int number() {
        return number;
    }

    @Override
    public long sentAt() {
        return sentAt;
    }

    @Override
    public int zone() {
        return endpoint.entry().zone();
    }

    @Override
    public int cell() {
        return endpoint.entry().cell();
    }

    /**
     * Returns the time for which the connection had been idle before the attempt was sent; 0 for a
     * new connection.
     */
    public long connectionIdleMicros() {
        return connectionIdleMicros;
    }

    /**
     * Returns the typical latency of the request class when the attempt was sent, in microseconds.
     */
    public double typicalMicros() {
        return typicalMicros;
    }

    /**
     * Returns the latency that was expected of the endpoint when the attempt was sent, in
     * microseconds. The value is at least the typical latency of the request class.
     */
    public double expectedMicros() {
        return expectedMicros;
    }

    /** Returns whether a connection had to be set up for the attempt. */
    public boolean onNewConnection() {
        return onNewConnection;
    }

    /**
     * Returns the start of the wait for a response: the time at which the attempt was sent or, for
     * an upload, the time of its last byte.
     */
    public long awaitedSince() {
        return awaitedSince;
    }

    /**
     * Returns whether a response is awaited. While this is so, the attempt counts as in flight at
     * its endpoint. An upload is not in flight before its last byte. An attempt is no longer in
     * flight once its response streams.
     */
    public boolean isAwaitingResponse() {
        return awaited;
    }

    /** Marks the attempt as awaiting a response from now on. */
    public void startAwaitingResponse(long now) {
        awaitedSince = now;
        awaited = true;
    }

    /** Marks the attempt as no longer awaiting a response. */
    public void stopAwaitingResponse() {
        awaited = false;
    }

    /**
     * Returns whether the attempt has had no response for so long that its endpoint or connection
     * is suspected to have failed.
     */
    public boolean isSuspected() {
        return suspected;
    }

    /** Marks the attempt as one that has had no response for too long. */
    public void markSuspected() {
        suspected = true;
    }

    /** Returns whether the attempt has ended. */
    public boolean hasEnded() {
        return state == AttemptState.ENDED;
    }

    /** Returns whether the response has begun to stream and the attempt has not ended. */
    public boolean isStreaming() {
        return state == AttemptState.STREAMING;
    }

    /** Returns whether the attempt has possibly run, or possibly still runs, at its endpoint. */
    public boolean mayHaveRun() {
        return result == null || !result.provesNotExecuted;
    }

    /** Marks the response as begun. The latency of the attempt is measured up to this point. */
    public void startStreaming() {
        state = AttemptState.STREAMING;
    }

    /** Ends the attempt. */
    public void end(AttemptResult finalResult) {
        state = AttemptState.ENDED;
        result = finalResult;
    }
}
