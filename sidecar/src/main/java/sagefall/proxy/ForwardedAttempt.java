package sagefall.proxy;

import io.netty.util.concurrent.Future;
import sagefall.balancer.api.AttemptResult;

/**
 * One attempt of a request at an endpoint. Times are those of {@link WallClock}, in microseconds.
 * Used on the event loop only.
 */
public final class ForwardedAttempt {
    /** The request that it belongs to. */
    public final ProxiedRequest request;

    /** Its number among the attempts of the request, from 0. */
    final int number;

    /** Id of the endpoint. */
    public final long endpointId;

    /** From when its duration counts: when it was sent, of an upload its last byte. */
    long timedFromMicros;

    /** When the sidecar gives it up. */
    public long giveUpAtMicros;

    /** From when on its first byte may not go out any more. */
    public long latestStartMicros = Long.MAX_VALUE;

    /** How long the balancer lets it run; 0 for as long as the client waits. */
    long timeoutMicros;

    /** Whether the last byte of the request has left: from then on it may have run. */
    public boolean written;

    /** How it ended; null while it is in flight. */
    public AttemptResult result;

    /** Ends it when its time is up; null where that time does not run yet. */
    Future<?> timeout;

    /** The next attempt of the request, which does not count it yet. */
    public ForwardedAttempt(ProxiedRequest call, long server, long sentAt, long giveUpAt) {
        this.request = call;
        this.endpointId = server;
        timedFromMicros = sentAt;
        this.giveUpAtMicros = giveUpAt;
        number = call.attempts.size();
    }
}
