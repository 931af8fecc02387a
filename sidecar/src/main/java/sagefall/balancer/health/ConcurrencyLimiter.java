package sagefall.balancer.health;

import java.util.SplittableRandom;
import sagefall.balancer.request.Attempt;
import sagefall.balancer.routing.SubsetTree;

/**
 * Concurrency limit of each endpoint by AIMD against the latency objective: keeps queues where
 * answers are still in time. While an endpoint reports free cores it grows by a whole slot, as in a
 * slow start, so that a restart or a burst is not answered by rejections. Harm: where reports come
 * late a burst may queue for as long.
 */
public final class ConcurrencyLimiter {

    /** Limit of an endpoint of which nothing is known, in attempts. */
    static final double INITIAL_LIMIT = 3;

    /** Part of the latency objective that cuts the limit. */
    private static final double LIMIT_TARGET = 0.5;

    /** Factor of a cut. */
    private static final double LIMIT_CUT = 0.7;

    /** Least limit, in attempts; many instances for few endpoints never go below 1. */
    private static final double MIN_LIMIT = 0.2;

    /** What cuts the limit where objectives are short: times what is typical. */
    private static final double TYPICAL_FACTOR = 1.25;

    /** What cuts the limit where objectives are short: up to that part of the objective. */
    private static final double MAX_LIMIT_TARGET = 0.6;

    /** Reported utilization from which a slow answer is taken for a queue. */
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

    /** Adjusts the limit to an answer that took so long. */
    void recordAnswer(long now, Attempt attempt, double elapsedMicros) {
        ConcurrencyState state = attempt.endpoint().concurrency();
        // Many sidecars share few cores: one request of each may be too many; below one, rest
        // between attempts.
        state.restUntil = now + (long) (elapsedMicros * (1 / Math.min(1, state.limit) - 1));
        if (isSlow(attempt, elapsedMicros)) {
            cut(now, attempt, state);
        } else if (state.inFlight() + 1 >= state.limit / 2) {
            state.limit += increase(now, attempt.endpoint());
        }
    }

    private boolean isSlow(Attempt attempt, double elapsedMicros) {
        double objective = attempt.request().rules().latencyObjectiveMicros();
        double typical = TYPICAL_FACTOR * latency.typicalMicros(attempt.request());
        double threshold =
                Math.min(Math.max(LIMIT_TARGET * objective, typical), MAX_LIMIT_TARGET * objective);
        return elapsedMicros > threshold;
    }

    /** Whether the peak latency of an endpoint is above the part of the objective that cuts. */
    boolean exceedsTarget(Attempt attempt, double latencyRatio) {
        return latencyRatio * attempt.typicalMicros()
                > LIMIT_TARGET * attempt.request().rules().latencyObjectiveMicros();
    }

    private void cut(long now, Attempt attempt, ConcurrencyState state) {
        Endpoint endpoint = attempt.endpoint();
        // An endpoint that reports free cores has no queue; a large limit is cut all the same, as
        // reports come late.
        boolean queued =
                !endpoint.loadReport().isKnown()
                        || loadReports.utilization(now, endpoint) > BUSY_UTILIZATION
                        || state.limit > 2 * INITIAL_LIMIT;
        if (attempt.sentAt() >= state.cutAt && queued) {
            double least = subsets.isSparse() ? 1 : MIN_LIMIT;
            state.limit = Math.max(least, state.limit * LIMIT_CUT);
            state.cutAt = now;
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

    /** Full is busy, not sick: shrinks the limit and pauses for about one typical answer. */
    void recordRejection(long now, Attempt attempt) {
        ConcurrencyState state = attempt.endpoint().concurrency();
        double typical = attempt.typicalMicros();
        state.limit = Math.max(1, state.limit * LIMIT_CUT);
        state.pausedUntil = now + (long) (typical / 2 + random.nextDouble() * typical);
    }
}
