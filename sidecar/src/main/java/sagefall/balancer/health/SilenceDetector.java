package sagefall.balancer.health;

import java.util.LinkedHashSet;
import java.util.Set;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.request.Attempt;

/**
 * Finds attempts that have been without a response for far longer than expected, and attributes the
 * missing response to the connection or to the endpoint. A hanging endpoint gives no latency
 * samples. Without this detector, it would be sent more attempts until the deadlines of its
 * attempts in flight had passed.
 */
public final class SilenceDetector {

    /**
     * An attempt without a response is treated as hanging if its age exceeds this multiple of its
     * expected latency.
     */
    static final int HANGING_FACTOR = 4;

    /**
     * An endpoint is treated as slow if its mean latency is at least this multiple of the typical
     * latency. If an endpoint is slow, a missing response is attributed to the endpoint even if the
     * connection had been idle for long.
     */
    private static final double SLOW_MEAN_RATIO = 1.5;

    private final ConnectionTrust connections;
    private final OutlierDetector outliers;
    private final double meanTargetMicros;

    /** Attempts whose responses are awaited, in the order in which the waiting began. */
    private final Set<Attempt> awaited = new LinkedHashSet<>();

    SilenceDetector(
            BalancerSettings settings, ConnectionTrust connections, OutlierDetector outliers) {
        this.connections = connections;
        this.outliers = outliers;
        meanTargetMicros = settings.meanLatencyTargetMicros();
    }

    /** Starts to observe an attempt whose response is awaited. */
    void add(Attempt attempt) {
        awaited.add(attempt);
    }

    /** Stops observing an attempt. */
    void remove(Attempt attempt) {
        awaited.remove(attempt);
        if (attempt.isSuspected()) {
            attempt.endpoint().silence().suspectedAttempts--;
        }
    }

    /**
     * Detects attempts that hang. The search stops at the first attempt younger than half of the
     * mean latency target, since none of the following attempts is older.
     */
    public void detectHangingAttempts(long now) {
        for (Attempt attempt : awaited) {
            long ageMicros = now - attempt.awaitedSince();
            if (ageMicros < meanTargetMicros / 2) {
                break;
            }
            if (!attempt.isSuspected() && ageMicros > HANGING_FACTOR * attempt.expectedMicros()) {
                suspect(now, attempt);
                attributeSilence(now, attempt);
            }
        }
    }

    private static void suspect(long now, Attempt attempt) {
        attempt.markSuspected();
        SilenceState silence = attempt.endpoint().silence();
        silence.suspectedAttempts++;
        silence.lastSuspectedAt = now;
    }

    /**
     * Decides why an attempt has no response. Has no effect if the endpoint has responded to
     * another attempt since the wait for the response to the given attempt began. If the connection
     * had been idle for long and the endpoint is not slow on average, the connection is assumed to
     * be broken, and idle connections to all endpoints are distrusted for a while. Otherwise the
     * endpoint is ejected.
     */
    void attributeSilence(long now, Attempt attempt) {
        Endpoint endpoint = attempt.endpoint();
        if (endpoint.connection().lastUsedAt() > attempt.awaitedSince()) {
            return;
        }
        if (connections.isLongIdle(attempt) && endpoint.latency().meanRatio < SLOW_MEAN_RATIO) {
            connections.distrustIdle(now, attempt);
        } else {
            long ageMicros = now - attempt.awaitedSince();
            outliers.eject(now, endpoint, EjectionCause.noResponse(ageMicros));
        }
    }
}
