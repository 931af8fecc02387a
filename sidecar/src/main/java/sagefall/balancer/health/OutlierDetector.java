package sagefall.balancer.health;

import java.util.SplittableRandom;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.routing.SubsetTree;
import sagefall.logging.LogEvent;
import sagefall.logging.LogLine;

/**
 * Ejects an endpoint after several failures in a row, or when it is silent, for a backoff that
 * doubles with each ejection; after that it is half-open and gets single trials. It prevents that
 * requests are lost to an endpoint that fails; the bound on ejections prevents that a fault of this
 * instance leaves it without endpoints.
 */
public final class OutlierDetector {

    /** Failures in a row that make an endpoint an outlier. */
    private static final int CONSECUTIVE_FAILURES = 3;

    /** Most doublings of the backoff, which begins with one latency target. */
    private static final int MAX_EJECTION_DOUBLINGS = 4;

    /** Most of the ready endpoints that may be ejected, as a fraction. */
    private static final double MAX_EJECTED = 0.5;

    private final BalancerActions actions;
    private final SplittableRandom random;
    private final SubsetTree subsets;
    private final double targetMicros;
    private int ejectedCount;

    OutlierDetector(
            BalancerSettings settings,
            BalancerActions actions,
            SplittableRandom random,
            SubsetTree subsets) {
        this.actions = actions;
        this.random = random;
        this.subsets = subsets;
        targetMicros = settings.meanTargetLatencyMicros();
    }

    /** Counts a failure, which ejects a half-open endpoint at once. */
    void recordFailure(long now, Endpoint endpoint, EjectionCause cause) {
        OutlierState state = endpoint.outlier();
        if (state.isEjected() || ++state.consecutiveFailures >= CONSECUTIVE_FAILURES) {
            eject(now, endpoint, cause);
        }
    }

    /** Ejects an endpoint, or extends its ejection, unless too many are ejected already. */
    public void eject(long now, Endpoint endpoint, EjectionCause cause) {
        OutlierState state = endpoint.outlier();
        if (!endpoint.isUsable() || (!state.isEjected() && isBoundReached())) {
            return;
        }
        if (!state.isEjected()) {
            ejectedCount++;
            LogLine line = LogLine.of(LogEvent.ENDPOINT_EJECTED).with("endpoint", endpoint.id());
            actions.log(cause.addTo(line).toString());
        }
        int doublings = Math.min(state.backoffLevel, MAX_EJECTION_DOUBLINGS);
        state.backoffLevel++;
        double backoffMicros = targetMicros * (1 << doublings);
        state.ejectedUntil = now + (long) (backoffMicros * (0.75 + random.nextDouble() / 2));
        state.consecutiveFailures = 0;
    }

    private boolean isBoundReached() {
        return ejectedCount + 1 > MAX_EJECTED * subsets.ready().size();
    }

    /** An answer ends the failures in a row, and the ejection. */
    void recordAnswer(Endpoint endpoint) {
        endpoint.outlier().consecutiveFailures = 0;
        if (endpoint.outlier().isEjected()) {
            readmit(endpoint);
        }
    }

    private void readmit(Endpoint endpoint) {
        OutlierState state = endpoint.outlier();
        state.backoffLevel = Math.max(0, state.backoffLevel - 1);
        endEjection(endpoint);
        LogLine line = LogLine.of(LogEvent.ENDPOINT_READMITTED).with("endpoint", endpoint.id());
        actions.log(line.toString());
    }

    /** Ends the ejection of an endpoint that is readmitted or no longer used. */
    public void endEjection(Endpoint endpoint) {
        OutlierState state = endpoint.outlier();
        if (state.isEjected()) {
            ejectedCount--;
        }
        state.ejectedUntil = 0;
    }
}
