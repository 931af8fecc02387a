package sagefall.balancer.health;

import java.util.LinkedHashSet;
import java.util.Set;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.request.Attempt;

/**
 * Finds attempts without an answer for far longer than expected, and blames the connection or the
 * endpoint for it. It prevents that a hanging endpoint, which never gives a sample, is sent more
 * until the deadlines of its attempts have passed.
 */
public final class SilenceDetector {

    /** An attempt hangs once it is unanswered for so many times what is expected. */
    static final int HANGING_FACTOR = 4;

    /** Mean latency ratio from which silence is the endpoint's own, not the connection's. */
    private static final double SLOW_MEAN_RATIO = 1.5;

    private final ConnectionTrust connections;
    private final OutlierDetector outliers;
    private final double targetMicros;

    /** Attempts that are owed an answer, in the order in which they came to be. */
    private final Set<Attempt> awaited = new LinkedHashSet<>();

    SilenceDetector(
            BalancerSettings settings, ConnectionTrust connections, OutlierDetector outliers) {
        this.connections = connections;
        this.outliers = outliers;
        targetMicros = settings.meanTargetLatencyMicros();
    }

    void add(Attempt attempt) {
        awaited.add(attempt);
    }

    void remove(Attempt attempt) {
        awaited.remove(attempt);
        if (attempt.isSuspected()) {
            attempt.endpoint().silence().suspectedAttempts--;
        }
    }

    /** Looks for attempts that hang; the first that is young ends the search. */
    public void check(long now) {
        for (Attempt attempt : awaited) {
            long age = now - attempt.awaitedSince();
            if (age < targetMicros / 2) {
                break;
            }
            if (!attempt.isSuspected() && age > HANGING_FACTOR * attempt.expectedMicros()) {
                suspect(now, attempt);
                blame(now, attempt);
            }
        }
    }

    private static void suspect(long now, Attempt attempt) {
        attempt.suspect();
        SilenceState silence = attempt.endpoint().silence();
        silence.suspectedAttempts++;
        silence.lastSuspectedAt = now;
    }

    /**
     * After an idle spell it is the connection that died: such spells are not trusted for a while,
     * elsewhere either. Otherwise it is the endpoint, unless it has answered others since.
     */
    void blame(long now, Attempt attempt) {
        Endpoint endpoint = attempt.endpoint();
        if (endpoint.connection().lastUsedAt() > attempt.awaitedSince()) {
            return;
        }
        if (connections.isLongIdle(attempt) && endpoint.latency().meanRatio < SLOW_MEAN_RATIO) {
            connections.distrustIdle(now, attempt);
        } else {
            long age = now - attempt.awaitedSince();
            outliers.eject(now, endpoint, EjectionCause.noResponse(age));
        }
    }
}
