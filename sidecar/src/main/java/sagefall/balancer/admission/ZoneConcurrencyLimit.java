package sagefall.balancer.admission;

/**
 * Limits the number of attempts that this instance has in flight in one zone. The responses of all
 * endpoints of the zone together adjust the limit: in a large fleet no instance sees enough
 * responses of one endpoint to find the limit of that endpoint. The number of attempts in flight is
 * limited, not the request rate, because the number of attempts in flight rises as soon as
 * responses become slower. Increases and cuts are fractions of the limit, so that instances with
 * different traffic back off in proportion. Drawback: in a busy zone, some requests are rejected
 * although a less busy endpoint of the zone could have served them.
 */
public final class ZoneConcurrencyLimit {

    /**
     * A response is treated as slow if its latency exceeds this fraction of the latency target. The
     * fraction is below 1 to allow for the variation of service times.
     */
    private static final double SLOW_OBJECTIVE_PART = 0.5;

    /**
     * Fraction of the limit by which a slow response reduces the limit in a busy zone. About twenty
     * slow responses halve the limit. These twenty responses arrive within half a second.
     */
    private static final double ZONE_LIMIT_CUT = 0.03;

    /**
     * Fraction of the limit by which a response that is not slow raises the limit. Three such
     * responses make up for one slow response. So increases and cuts cancel out if a quarter of the
     * responses is slow. Without overload, this is the usual fraction of slow responses.
     */
    private static final double ZONE_LIMIT_GAIN = 0.01;

    /**
     * Minimum mean reported utilization at which slow responses are treated as overload. At a lower
     * utilization, slow responses come from a few faulty endpoints, not from a busy zone.
     */
    private static final double ZONE_BUSY_UTILIZATION = 0.8;

    /**
     * Maximum limit after a cut, as a multiple of the typical number of attempts in flight. Without
     * this bound, the cut of a much higher limit would have no effect. The limit grows only if the
     * number of attempts in flight is at least the limit divided by this factor.
     */
    private static final double MAX_TYPICAL_FACTOR = 2;

    /**
     * Minimum limit, in attempts. The minimum is above 0, because an instance that sends no
     * attempts gets no responses that could raise the limit again.
     */
    private static final double MIN_ZONE_LIMIT = 2;

    /**
     * Weight of one report in the moving average of the utilization, and weight of one attempt in
     * the moving average of the number of attempts in flight.
     */
    private static final double ZONE_MEAN_WEIGHT = 0.1;

    private double limit = Double.POSITIVE_INFINITY;
    private double meanUtilization = Double.NaN;
    private double typicalInFlight;
    private int inFlight;

    /** Returns whether the number of attempts in flight has reached the limit. */
    public boolean isFull() {
        return inFlight >= limit;
    }

    /** Counts an attempt as in flight. */
    public void attemptStarted() {
        inFlight++;
        typicalInFlight += ZONE_MEAN_WEIGHT * (inFlight - typicalInFlight);
    }

    /** Stops counting an attempt as in flight, whatever its outcome. */
    public void attemptEnded() {
        inFlight--;
    }

    /** Records the utilization that an endpoint reports, from 0 to 1. */
    public void recordUtilization(double utilization) {
        if (Double.isNaN(meanUtilization)) {
            meanUtilization = utilization;
        } else {
            meanUtilization += ZONE_MEAN_WEIGHT * (utilization - meanUtilization);
        }
    }

    /**
     * Adjusts the limit to a response.
     *
     * @param latencyTargetFraction latency of the response as a fraction of its latency target
     */
    public void recordResponse(double latencyTargetFraction) {
        if (latencyTargetFraction > SLOW_OBJECTIVE_PART) {
            recordOverload();
        } else if (inFlight >= limit / MAX_TYPICAL_FACTOR) {
            limit *= 1 + ZONE_LIMIT_GAIN;
        }
    }

    /**
     * Cuts the limit after a slow response, a timeout or a rejection. Does nothing if the reported
     * utilization shows that the zone is not busy.
     */
    public void recordOverload() {
        if (meanUtilization < ZONE_BUSY_UTILIZATION) {
            return;
        }
        double bound = Math.min(limit, MAX_TYPICAL_FACTOR * typicalInFlight);
        limit = Math.max(MIN_ZONE_LIMIT, bound * (1 - ZONE_LIMIT_CUT));
    }
}
