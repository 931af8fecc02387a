package sagefall.balancer.request;

import sagefall.balancer.api.AttemptResult;
import sagefall.balancer.health.Endpoint;

/**
 * One sending of a request to one endpoint. Compared by identity, never by value; times are in
 * microseconds of the host's clock.
 */
public final class Attempt {
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
     * @param typicalMicros what is typical for an answer of the request's class
     * @param warm whether it goes out on a connection that is open and trusted
     */
    public Attempt(
            PendingRequest request,
            Endpoint endpoint,
            long now,
            double typicalMicros,
            boolean warm) {
        this.request = request;
        this.endpoint = endpoint;
        this.typicalMicros = typicalMicros;
        number = request.attempts().size();
        sentAt = now;
        awaitedSince = now;
        expectedMicros = typicalMicros * Math.max(1, endpoint.latency().meanRatio());
        onNewConnection = !warm;
        connectionIdleMicros = warm ? now - endpoint.connection().lastUsedAt() : 0;
    }

    /** The request that it is an attempt of. */
    public PendingRequest request() {
        return request;
    }

    /** Where it was sent. */
    public Endpoint endpoint() {
        return endpoint;
    }

    /** Its number among the attempts of its request, from 0. */
    public int number() {
        return number;
    }

    /** When it was sent. */
    public long sentAt() {
        return sentAt;
    }

    /** How long its connection had been idle; 0 for a new connection. */
    public long connectionIdleMicros() {
        return connectionIdleMicros;
    }

    /** What was typical for its class when it was sent. */
    public double typicalMicros() {
        return typicalMicros;
    }

    /** What was expected of its endpoint when it was sent; at least what is typical. */
    public double expectedMicros() {
        return expectedMicros;
    }

    /** Whether a connection had to be set up for it. */
    public boolean onNewConnection() {
        return onNewConnection;
    }

    /** From when on its endpoint owes an answer: its sending, or the last byte of an upload. */
    public long awaitedSince() {
        return awaitedSince;
    }

    /**
     * Whether it counts as in flight at its endpoint. An upload counts from its last byte on, a
     * streamed answer no longer counts.
     */
    public boolean isAwaited() {
        return awaited;
    }

    /** From now on its endpoint owes an answer. */
    public void startAwaiting(long now) {
        awaitedSince = now;
        awaited = true;
    }

    /** Its endpoint owes no answer any more. */
    public void stopAwaiting() {
        awaited = false;
    }

    /** Whether it has been unanswered for so long that its endpoint or connection is suspected. */
    public boolean isSuspected() {
        return suspected;
    }

    /** Marks it as unanswered for too long. */
    public void suspect() {
        suspected = true;
    }

    /** Whether its outcome is known. */
    public boolean hasEnded() {
        return state == AttemptState.ENDED;
    }

    /** Whether its answer has begun and its outcome is not known yet. */
    public boolean isStreaming() {
        return state == AttemptState.STREAMING;
    }

    /** Whether it may have run, or may still run. */
    public boolean possiblyExecuted() {
        return result == null || !result.provesNotExecuted;
    }

    /** Its answer has begun: all has been learnt that its latency tells. */
    public void startStreaming() {
        state = AttemptState.STREAMING;
    }

    /** Its outcome is known. */
    public void end(AttemptResult finalResult) {
        state = AttemptState.ENDED;
        result = finalResult;
    }
}
