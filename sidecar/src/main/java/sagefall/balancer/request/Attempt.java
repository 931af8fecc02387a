package sagefall.balancer.request;

import sagefall.balancer.api.AttemptResult;
import sagefall.balancer.health.Endpoint;

/** One sending of it to one server. */
public final class Attempt {
    public final PendingRequest of;
    public final Endpoint server;
    public final int number;
    public final long sentAt;
    public final long idle;
    public final double usual;
    public final double expected;
    public final boolean fresh;

    /** From when its server owes an answer: its sending, or the last byte of an upload. */
    public long since;

    public boolean suspected;

    /** Counted as in flight. */
    public boolean counted;

    /** Its answer has begun, and all has been learnt that its time tells. */
    public boolean streams;

    public AttemptResult result;

    public Attempt(PendingRequest of, Endpoint server, long now, double usual, boolean warm) {
        this.of = of;
        this.server = server;
        this.usual = usual;
        number = of.attempts.size();
        sentAt = since = now;
        expected = usual * Math.max(1, server.pace);
        fresh = !warm;
        idle = warm ? now - server.usedAt : 0;
    }
}
