package sagefall.proxy;

import io.netty.util.concurrent.Future;
import sagefall.balancer.api.AttemptResult;

/**
 * One attempt of a request at an endpoint. Times are those of {@link WallClock}, in microseconds.
 * Used on the event loop only.
 */
public final class ForwardedAttempt {
    /** The request that this attempt belongs to. */
    public final ProxiedRequest request;

    /** Index of this attempt among the attempts of the request, from 0. */
    final int number;

    /** Id of the endpoint that this attempt is sent to. */
    public final long endpointId;

    /**
     * Start of the duration that is reported to the balancer. For an upload whose last byte has
     * been written, this is the time of that write. Otherwise, it is the time at which this attempt
     * was sent.
     */
    long durationStartMicros;

    /** Deadline of this attempt, at which the sidecar ends it. */
    public long deadlineMicros;

    /** Exclusive upper bound of the time at which the first byte is sent. */
    public long latestStartMicros = Long.MAX_VALUE;

    /** Timeout that the balancer set; 0 if only the deadline of the request applies. */
    long timeoutMicros;

    /**
     * Whether the last byte of the request was written. If so, the endpoint has possibly executed
     * the request.
     */
    public boolean written;

    /** How this attempt ended; null while it is in flight. */
    public AttemptResult result;

    /** Timer that ends this attempt at its deadline; null if it has not been started. */
    Future<?> timeoutTimer;

    /** Creates the next attempt of the request, without adding it to {@code request.attempts}. */
    public ForwardedAttempt(
            ProxiedRequest request, long endpointId, long sentAtMicros, long deadlineMicros) {
        this.request = request;
        this.endpointId = endpointId;
        durationStartMicros = sentAtMicros;
        this.deadlineMicros = deadlineMicros;
        number = request.attempts.size();
    }
}
