package sagefall.balancer.health;

import java.util.SplittableRandom;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.request.Attempt;
import sagefall.logging.LogEvent;
import sagefall.logging.LogLine;

/**
 * What new connections cost, and how long an idle one may be taken to work. It prevents that
 * requests are lost on connections that have died silently, and that they wait for a set-up that
 * takes longer than their latency objective.
 */
public final class ConnectionTrust {

    /** Time constant of set-ups, and of the distrust of idle connections, in latency targets. */
    private static final double CONNECTION_MEMORY_TARGETS = 30;

    /** Weight of one set-up in the mean. */
    private static final double SETUP_WEIGHT = 0.3;

    /** Most doublings of the backoff after failed set-ups, which begins with one latency target. */
    private static final int MAX_CONNECT_DOUBLINGS = 4;

    /** An idle spell is long from this part of the latency target on, as a divisor. */
    private static final int LONG_IDLE_DIVISOR = 4;

    private final BalancerActions actions;
    private final SplittableRandom random;
    private final double targetMicros;
    private final long idleTimeoutMicros;
    private double setupMicros;
    private long setupAt;
    private long trustedIdleMicros = Long.MAX_VALUE;
    private long distrustedAt;

    ConnectionTrust(BalancerSettings settings, BalancerActions actions, SplittableRandom random) {
        this.actions = actions;
        this.random = random;
        targetMicros = settings.meanTargetLatencyMicros();
        idleTimeoutMicros = settings.limits().idleTimeoutMicros();
    }

    /**
     * Whether an attempt would go out on an open connection: one that was used a moment ago. One
     * idle for longer than those that died is not trusted.
     */
    public boolean isWarm(long now, Endpoint endpoint) {
        ConnectionState connection = endpoint.connection();
        return connection.isKnown()
                && now - connection.lastUsedAt()
                        < Math.min(trustedIdleMicros(now), idleTimeoutMicros);
    }

    /** How long a connection may be idle and still be trusted; {@link Long#MAX_VALUE}: any time. */
    public long trustedIdleMicros(long now) {
        boolean distrusted = now - distrustedAt < CONNECTION_MEMORY_TARGETS * targetMicros;
        return distrusted ? trustedIdleMicros : Long.MAX_VALUE;
    }

    /** Mean time of a set-up, in microseconds; it fades while none is seen. */
    public double setupMicros(long now) {
        return setupMicros
                * Math.exp(-(now - setupAt) / (CONNECTION_MEMORY_TARGETS * targetMicros));
    }

    /** When a new connection last showed what a set-up takes. */
    public long lastSetupAt() {
        return setupAt;
    }

    private void recordSetup(long now, double micros) {
        setupMicros = setupMicros(now) + SETUP_WEIGHT * (micros - setupMicros(now));
        setupAt = now;
    }

    /** Whether an attempt went out on a connection that had been idle for long. */
    boolean isLongIdle(Attempt attempt) {
        return attempt.connectionIdleMicros() > targetMicros / LONG_IDLE_DIVISOR;
    }

    /** An attempt on an idle connection is not answered: such connections are taken for dead. */
    void distrustIdle(long now, Attempt attempt) {
        long idleMicros = attempt.connectionIdleMicros();
        trustedIdleMicros = Math.min(trustedIdleMicros(now), idleMicros) / 2;
        distrustedAt = now;
        attempt.endpoint().connection().forget();
        actions.log(
                LogLine.of(LogEvent.IDLE_CONNECTIONS_DISTRUSTED)
                        .with("idle_ms", idleMicros / 1000)
                        .toString());
    }

    /** An answer shows that the connection works, and that the process lives. */
    void recordAnswer(long now, Attempt attempt, long elapsedMicros) {
        if (attempt.onNewConnection()) {
            recordSetup(now, Math.max(0, elapsedMicros - attempt.expectedMicros()));
        }
        ConnectionState connection = attempt.endpoint().connection();
        connection.used(now);
        connection.opened = true;
        connection.connectFailures = 0;
        connection.connectAt = 0;
        if (connection.maybeDead) {
            connection.returnedAt = now;
        }
        connection.maybeDead = false;
        // It was slow after all: neither its connection nor the others' had died.
        if (attempt.isSuspected() && attempt.connectionIdleMicros() > 0) {
            trustedIdleMicros = Long.MAX_VALUE;
        }
    }

    /** A rejection shows that the connection works. */
    void recordRejection(long now, Endpoint endpoint) {
        endpoint.connection().used(now);
        endpoint.connection().opened = true;
    }

    /** The endpoint is at its limit, slow to set up, or down: only new connections stay away. */
    void recordFailedSetup(long now, Endpoint endpoint, long elapsedMicros) {
        recordSetup(now, (double) (2 * elapsedMicros));
        ConnectionState connection = endpoint.connection();
        connection.forget();
        int doublings = Math.min(connection.connectFailures, MAX_CONNECT_DOUBLINGS);
        connection.connectFailures++;
        double backoffMicros = targetMicros * (1 << doublings);
        // A process that dies refuses connections for a while; broken ones come from any server.
        if (connection.connectFailures > 1) {
            connection.maybeDead = true;
        }
        connection.connectAt = now + (long) (backoffMicros * (0.75 + random.nextDouble() / 2));
    }
}
