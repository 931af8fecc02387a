package sagefall.balancer.health;

import java.util.SplittableRandom;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.request.Attempt;
import sagefall.logging.LogEvent;
import sagefall.logging.LogLine;

/**
 * Estimates how long a connection set-up takes and for how long an idle connection can be assumed
 * to work. Without these estimates, requests would be lost on connections that were dropped without
 * a close, and would wait for connection set-ups that take longer than the latency target.
 */
public final class ConnectionTrust {

    /**
     * Time constant with which the mean set-up time decays, as a multiple of the mean latency
     * target. After an idle connection has failed, idle connections are distrusted for as long as
     * this time constant.
     */
    private static final double CONNECTION_MEMORY_TARGETS = 30;

    /** Weight of one set-up in the mean set-up time. */
    private static final double SETUP_WEIGHT = 0.3;

    /**
     * Maximum number of times that the backoff after failed set-ups is doubled. The first backoff
     * is one mean latency target, increased or reduced at random by up to a quarter.
     */
    private static final int MAX_CONNECT_DOUBLINGS = 4;

    /**
     * A connection is treated as long idle if its idle time exceeds the mean latency target divided
     * by this number.
     */
    private static final int LONG_IDLE_DIVISOR = 4;

    private final BalancerActions actions;
    private final SplittableRandom random;
    private final double meanTargetMicros;
    private final long idleTimeoutMicros;
    private double setupMicros;
    private long setupAt;
    private long trustedIdleMicros = Long.MAX_VALUE;
    private long distrustedAt;

    ConnectionTrust(BalancerSettings settings, BalancerActions actions, SplittableRandom random) {
        this.actions = actions;
        this.random = random;
        meanTargetMicros = settings.meanLatencyTargetMicros();
        idleTimeoutMicros = settings.limits().idleTimeoutMicros();
    }

    /**
     * Returns whether an attempt would be sent on an open connection that was used recently. A
     * connection is trusted while its idle time is below both the trusted idle time and the idle
     * timeout.
     */
    public boolean hasTrustedConnection(long now, Endpoint endpoint) {
        ConnectionState connection = endpoint.connection();
        return connection.hasWorkingConnection()
                && now - connection.lastUsedAt()
                        < Math.min(trustedIdleMicros(now), idleTimeoutMicros);
    }

    /**
     * Returns the trusted idle time, in microseconds. A connection is trusted while its idle time
     * is shorter. The value is {@link Long#MAX_VALUE} while idle connections are not distrusted.
     */
    public long trustedIdleMicros(long now) {
        boolean distrusted = now - distrustedAt < CONNECTION_MEMORY_TARGETS * meanTargetMicros;
        return distrusted ? trustedIdleMicros : Long.MAX_VALUE;
    }

    /**
     * Returns the mean duration of a connection set-up, in microseconds. The mean decays towards 0
     * while no set-up is observed.
     */
    public double setupMicros(long now) {
        return setupMicros
                * Math.exp(-(now - setupAt) / (CONNECTION_MEMORY_TARGETS * meanTargetMicros));
    }

    /** Returns the time at which a set-up was last measured. */
    public long lastSetupAt() {
        return setupAt;
    }

    private void recordSetup(long now, double micros) {
        setupMicros = setupMicros(now) + SETUP_WEIGHT * (micros - setupMicros(now));
        setupAt = now;
    }

    /**
     * Returns whether an attempt was sent on a connection that was long idle, see {@link
     * #LONG_IDLE_DIVISOR}.
     */
    boolean isLongIdle(Attempt attempt) {
        return attempt.connectionIdleMicros() > meanTargetMicros / LONG_IDLE_DIVISOR;
    }

    /**
     * Stops trusting long-idle connections for a while, after an attempt on one of them got no
     * response: other connections that have been idle for as long may not work either. The new
     * trusted idle time is half the idle time of the failed connection, or half the previous
     * trusted idle time if the previous one was shorter.
     */
    void distrustIdle(long now, Attempt attempt) {
        long idleMicros = attempt.connectionIdleMicros();
        trustedIdleMicros = Math.min(trustedIdleMicros(now), idleMicros) / 2;
        distrustedAt = now;
        attempt.endpoint().connection().resetLastUsed();
        actions.log(
                LogLine.of(LogEvent.IDLE_CONNECTIONS_DISTRUSTED)
                        .with("idle_ms", idleMicros / 1000)
                        .toString());
    }

    /**
     * Records a response, which shows that the connection works and that the endpoint is not down.
     */
    void recordResponse(long now, Attempt attempt, long elapsedMicros) {
        if (attempt.onNewConnection()) {
            recordSetup(now, Math.max(0, elapsedMicros - attempt.expectedMicros()));
        }
        ConnectionState connection = attempt.endpoint().connection();
        connection.markUsed(now);
        connection.mayHaveIdleConnection = true;
        connection.connectFailures = 0;
        connection.connectAt = 0;
        if (connection.suspectedDown) {
            connection.recoveredAt = now;
        }
        connection.suspectedDown = false;
        // The suspected attempt was only slow. The response shows that its connection works
        // although it had been idle. So idle connections are trusted again.
        if (attempt.isSuspected() && attempt.connectionIdleMicros() > 0) {
            trustedIdleMicros = Long.MAX_VALUE;
        }
    }

    /** Records a rejection, which shows that the connection works. */
    void recordRejection(long now, Endpoint endpoint) {
        endpoint.connection().markUsed(now);
        endpoint.connection().mayHaveIdleConnection = true;
    }

    /**
     * Records a failed connection set-up. In the mean set-up time, the failed set-up is treated as
     * one that took twice the elapsed time. The endpoint may be at its connection limit, slow to
     * set up connections, or down. So only new connections are avoided during the backoff.
     */
    void recordFailedSetup(long now, Endpoint endpoint, long elapsedMicros) {
        recordSetup(now, (double) (2 * elapsedMicros));
        ConnectionState connection = endpoint.connection();
        connection.resetLastUsed();
        int doublings = Math.min(connection.connectFailures, MAX_CONNECT_DOUBLINGS);
        connection.connectFailures++;
        double backoffMicros = meanTargetMicros * (1 << doublings);
        // A single set-up may fail at any endpoint. Only several failures in a row are a sign that
        // the endpoint is down.
        if (connection.connectFailures > 1) {
            connection.suspectedDown = true;
        }
        connection.connectAt = now + (long) (backoffMicros * (0.75 + random.nextDouble() / 2));
    }
}
