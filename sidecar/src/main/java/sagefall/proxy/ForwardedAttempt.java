package sagefall.proxy;

import io.netty.util.concurrent.Future;
import sagefall.balancer.api.AttemptResult;

/** One sending of a request to a server. */
public final class ForwardedAttempt {
    public final ProxiedRequest call;
    final int number;
    public final long server;

    /** From when its time counts: its sending, of an upload the last byte of it. */
    long since;

    public long giveUpAt;

    /** From when on its first byte may not go out any more. */
    public long latestAt = Long.MAX_VALUE;

    /** How long the module waits for it; 0 for as long as the client does. */
    long patienceMicros;

    /** The last byte of the request has left, so from here on it may have run. */
    public boolean written;

    public AttemptResult result;
    Future<?> timeout;

    public ForwardedAttempt(ProxiedRequest call, long server, long sentAt, long giveUpAt) {
        this.call = call;
        this.server = server;
        since = sentAt;
        this.giveUpAt = giveUpAt;
        number = call.attempts.size();
    }
}
