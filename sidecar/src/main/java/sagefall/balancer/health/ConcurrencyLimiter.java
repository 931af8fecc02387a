package sagefall.balancer.health;

import java.util.SplittableRandom;
import sagefall.balancer.request.Attempt;
import sagefall.balancer.routing.SubsetTree;

/**
 * Limits the number of attempts in flight at each endpoint by additive increase and multiplicative
 * decrease (AIMD). A response that is slow compared with the latency target cuts the limit. Other
 * responses raise the limit while at least half of it is in use. So a queue at an endpoint stays
 * short enough for responses in time.
 *
 * <p>While an endpoint reports free cores, the limit grows by 1 per response, like the window of
 * TCP slow start. So requests are not rejected after a restart or during a burst. Drawback: load
 * reports arrive late, so a burst may be queued at the endpoint until the next report.
 */
public final class ConcurrencyLimiter {

    /** Initial limit of an endpoint, in attempts. */
    static final double INITIAL_LIMIT = 3;

    /**
     * A response is slow if its latency exceeds this fraction of the latency target, unless {@link
     * #TYPICAL_FACTOR} results in a higher bound.
     */
    private static final double LIMIT_TARGET = 0.5;

    /** Factor by which a cut reduces the limit. */
    private static final double LIMIT_CUT = 0.7;

    /**
     * Minimum limit, in attempts. The minimum is 1 instead where many sidecars share few endpoints.
     */
    private static final double MIN_LIMIT = 0.2;

    /**
     * A response is slow only if its latency exceeds this multiple of the typical latency or the
     * bound of {@link #MAX_LIMIT_TARGET}. The multiple matters only where the latency target is so
     * short that the multiple exceeds the bound of {@link #LIMIT_TARGET}.
     */
    private static final double TYPICAL_FACTOR = 1.25;

    /**
     * A response is always slow if its latency exceeds this fraction of the latency target,
     * whatever the typical latency is.
     */
    private static final double MAX_LIMIT_TARGET = 0.6;

    /**
     * A slow response is taken as a sign of a queue if the reported utilization exceeds this value.
     */
    private static final double BUSY_UTILIZATION = 0.5;

    private final SplittableRandom random;
    private final SubsetTree subsets;
    private final LatencyEstimator latency;
    private final LoadReportTracker loadReports;

    ConcurrencyLimiter(
            SplittableRandom random,
            SubsetTree subsets,
            LatencyEstimator latency,
            LoadReportTracker loadReports) {
        this.random = random;
        this.subsets = subsets;
        this.latency = latency;
        this.loadReports = loadReports;
    }

    /**
     * Adjusts the limit of the endpoint to a response.
     *
     * @param elapsedMicros latency of the response
     */
    void recordResponse(long now, Attempt attempt, double elapsedMicros) {
        ConcurrencyState state = attempt.endpoint().concurrency();
        // Several sidecars may share the few cores of an endpoint. Then even one attempt in flight
        // from each sidecar may be too many. With a limit below 1, the sidecar pauses between
        // attempts.
        state.nextSendAt = now + (long) (elapsedMicros * (1 / Math.min(1, state.limit) - 1));
        if (isSlow(attempt, elapsedMicros)) {
            cut(now, attempt, state);
        } else if (state.inFlight() + 1 >= state.limit / 2) {
            state.limit += increase(now, attempt.endpoint());
        }
    }

    private boolean isSlow(Attempt attempt, double elapsedMicros) {
        double latencyTarget = attempt.request().requestClass().latencyTargetMicros();
        double typical = TYPICAL_FACTOR * latency.typicalMicros(attempt.request());
        double threshold =
                Math.min(
                        Math.max(LIMIT_TARGET * latencyTarget, typical),
                        MAX_LIMIT_TARGET * latencyTarget);
        return elapsedMicros > threshold;
    }

    /**
     * Returns whether a latency exceeds the fraction {@link #LIMIT_TARGET} of the latency target of
     * the attempt's request class.
     *
     * @param latencyRatio latency as a multiple of the typical latency of the attempt
     */
    boolean exceedsLimitTarget(Attempt attempt, double latencyRatio) {
        return latencyRatio * attempt.typicalMicros()
                > LIMIT_TARGET * attempt.request().requestClass().latencyTargetMicros();
    }

    private void cut(long now, Attempt attempt, ConcurrencyState state) {
        Endpoint endpoint = attempt.endpoint();
        // An endpoint that reports free cores has no queue. A large limit is cut nevertheless,
        // since reports arrive late.
        boolean mayHaveQueue =
                !endpoint.loadReport().isKnown()
                        || loadReports.utilization(now, endpoint) > BUSY_UTILIZATION
                        || state.limit > 2 * INITIAL_LIMIT;
        // A response to an attempt that was sent before the last cut does not show the effect of
        // that cut.
        if (attempt.sentAt() >= state.lastCutAt && mayHaveQueue) {
            double minimum = subsets.isSparse() ? 1 : MIN_LIMIT;
            state.limit = Math.max(minimum, state.limit * LIMIT_CUT);
            state.lastCutAt = now;
        }
    }

    private double increase(long now, Endpoint endpoint) {
        ConcurrencyState state = endpoint.concurrency();
        if (state.limit < 1) {
            return state.limit / 4;
        }
        boolean freeCores =
                endpoint.loadReport().isKnown()
                        && loadReports.utilization(now, endpoint) < BUSY_UTILIZATION
                        && state.inFlight() + 1 >= state.limit;
        return freeCores ? 1 : 1 / state.limit;
    }

    /**
     * Cuts the limit and pauses sending to the endpoint for a random time between 0.5 and 1.5 times
     * the typical latency. The endpoint is not ejected, because an endpoint that rejects a request
     * is busy, not faulty.
     */
    void recordRejection(long now, Attempt attempt) {
        ConcurrencyState state = attempt.endpoint().concurrency();
        double typical = attempt.typicalMicros();
        state.limit = Math.max(1, state.limit * LIMIT_CUT);
        state.pausedUntil = now + (long) (typical / 2 + random.nextDouble() * typical);
    }
}
