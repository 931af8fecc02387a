package sagefall.proxy;

import io.netty.util.concurrent.Future;
import sagefall.balancer.api.AttemptResult;

/**
 * One attempt of a request at an endpoint. Times are those of {@link WallClock}, in microseconds.
 * Used on the event loop only.
 */
public final class ForwardedAttempt {
    /** The request that it belongs to. */
    public final ProxiedRequest call;

    /** Its number among the attempts of the request, from 0. */
    final int number;

    /** Id of the endpoint. */
    public final long server;

    /** From when its duration counts: when it was sent, of an upload its last byte. */
    long timedFromMicros;

    /** When the sidecar gives it up. */
    public long giveUpAt;

    /** From when on its first byte may not go out any more. */
    public long latestAt = Long.MAX_VALUE;

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
        this.call = call;
        this.server = server;
        timedFromMicros = sentAt;
        this.giveUpAt = giveUpAt;
        number = call.attempts.size();
    }
}
