package sagefall.balancer.health;

/** State of the connections to one endpoint for {@link ConnectionTrust}; times in microseconds. */
public final class ConnectionState {

    /**
     * Value of {@code lastUsedAt} while no connection is known to work. The value is earlier than
     * the time of every event.
     */
    private static final long NEVER = 0;

    /** Time at which a connection was last known to work. */
    private long lastUsedAt = NEVER;

    /** Earliest time of the next attempt on a new connection. */
    long connectAt;

    /** Number of failed connection set-ups since the last response. */
    int connectFailures;

    /** Whether a response has arrived since the idle connections were last closed. */
    boolean mayHaveIdleConnection;

    /**
     * Whether several connection set-ups in a row have failed, which is a sign that the endpoint is
     * down.
     */
    boolean suspectedDown;

    /**
     * Time of the first response after the endpoint was last suspected to be down. The value is 0
     * if the endpoint has never recovered from such a suspicion.
     */
    long recoveredAt;

    /** Returns whether a connection is known to work. */
    boolean hasWorkingConnection() {
        return lastUsedAt != NEVER;
    }

    /**
     * Returns the time at which a connection was last known to work; 0 if none is known to work.
     */
    public long lastUsedAt() {
        return lastUsedAt;
    }

    /** Records that a connection was just used and works. */
    void markUsed(long now) {
        lastUsedAt = now;
    }

    /** Records that no connection is known to work any more. */
    void resetLastUsed() {
        lastUsedAt = NEVER;
    }

    /** Returns the earliest time of the next attempt on a new connection. */
    public long connectAt() {
        return connectAt;
    }

    /** Returns whether the host may hold an idle connection. */
    public boolean mayHaveIdleConnection() {
        return mayHaveIdleConnection;
    }

    /** Records that the host closes the idle connections. */
    public void markIdleConnectionsClosed() {
        mayHaveIdleConnection = false;
        resetLastUsed();
    }
}
