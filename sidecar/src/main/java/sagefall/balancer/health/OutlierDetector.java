package sagefall.balancer.health;

import java.util.SplittableRandom;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.routing.SubsetTree;
import sagefall.logging.LogEvent;
import sagefall.logging.LogLine;

/**
 * Ejects an endpoint after several failures in a row, or when it does not respond. The ejection
 * lasts for a backoff that doubles with each ejection. After the backoff the endpoint is half-open:
 * it is sent one trial at a time. Without ejection, requests would be lost at a failing endpoint.
 * Without the bound on the number of ejected endpoints, a fault of this instance could leave the
 * instance without endpoints.
 */
public final class OutlierDetector {

    /** Number of failures in a row that make an endpoint an outlier. */
    private static final int CONSECUTIVE_FAILURES = 3;

    /**
     * Maximum number of times that the backoff is doubled. The first backoff is one mean latency
     * target, increased or reduced at random by up to a quarter.
     */
    private static final int MAX_EJECTION_DOUBLINGS = 4;

    /** Maximum fraction of the ready endpoints that may be ejected. */
    private static final double MAX_EJECTED = 0.5;

    private final BalancerActions actions;
    private final SplittableRandom random;
    private final SubsetTree subsets;
    private final double meanTargetMicros;
    private int ejectedCount;

    OutlierDetector(
            BalancerSettings settings,
            BalancerActions actions,
            SplittableRandom random,
            SubsetTree subsets) {
        this.actions = actions;
        this.random = random;
        this.subsets = subsets;
        meanTargetMicros = settings.meanLatencyTargetMicros();
    }

    /**
     * Records a failure. Several failures in a row eject the endpoint. If the endpoint is already
     * ejected or half-open, a single failure extends the ejection.
     *
     * @param cause cause to log if the endpoint is ejected
     */
    void recordFailure(long now, Endpoint endpoint, EjectionCause cause) {
        OutlierState state = endpoint.outlier();
        if (state.isEjected() || ++state.consecutiveFailures >= CONSECUTIVE_FAILURES) {
            eject(now, endpoint, cause);
        }
    }

    /**
     * Ejects an endpoint, or extends its ejection. Has no effect on an endpoint that is not usable.
     * Ejects no further endpoint once the bound on ejected endpoints is reached.
     */
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
        double backoffMicros = meanTargetMicros * (1 << doublings);
        state.ejectedUntil = now + (long) (backoffMicros * (0.75 + random.nextDouble() / 2));
        state.consecutiveFailures = 0;
    }

    private boolean isBoundReached() {
        return ejectedCount + 1 > MAX_EJECTED * subsets.ready().size();
    }

    /** Records a response, which resets the count of failures in a row and ends the ejection. */
    void recordResponse(Endpoint endpoint) {
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

    /** Ends the ejection of an endpoint that is readmitted or no longer in use. */
    public void endEjection(Endpoint endpoint) {
        OutlierState state = endpoint.outlier();
        if (state.isEjected()) {
            ejectedCount--;
        }
        state.ejectedUntil = 0;
    }
}
