package sagefall.balancer.health;

/** What {@link ConnectionTrust} knows of the connections to one endpoint; times in microseconds. */
public final class ConnectionState {

    /** A time before all events: no connection is known to work. */
    private static final long NEVER = 0;

    /** When a connection was last known to work. */
    private long lastUsedAt = NEVER;

    /** When a new connection may be tried. */
    long connectAt;

    /** Set-ups that failed since the last answer. */
    int connectFailures;

    /** Whether an answer has come since the idle connections were last closed. */
    boolean opened;

    /** Whether several set-ups failed, so that the process may have died. */
    boolean maybeDead;

    /** When it answered after it may have died. */
    long returnedAt;

    /** Whether a connection is known to work. */
    boolean isKnown() {
        return lastUsedAt != NEVER;
    }

    /** When a connection was last known to work; before all events if never. */
    public long lastUsedAt() {
        return lastUsedAt;
    }

    /** A connection has just shown that it works. */
    void used(long now) {
        lastUsedAt = now;
    }

    /** No connection is known to work any more. */
    void forget() {
        lastUsedAt = NEVER;
    }

    /** When a new connection may be tried. */
    public long connectAt() {
        return connectAt;
    }

    /** Whether the host may hold an idle connection. */
    public boolean isOpened() {
        return opened;
    }

    /** The host closes the idle connections. */
    public void closed() {
        opened = false;
        forget();
    }
}
