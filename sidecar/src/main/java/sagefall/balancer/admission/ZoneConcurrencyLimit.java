package sagefall.balancer.admission;

/**
 * Limits the number of attempts that this instance has in flight in one zone. The limit is adjusted
 * by the responses of all endpoints of the zone together: in a large fleet no instance sees enough
 * responses of one endpoint to find the limit of that endpoint. The number of attempts in flight is
 * limited rather than the request rate, because that number rises as soon as responses slow down.
 * Increases and cuts are fractions of the limit, so that instances with different traffic back off
 * in proportion. Drawback: in a zone where all endpoints are busy, some requests are rejected that
 * would have been served if the picked endpoint had happened to be less busy than the others.
 */
public final class ZoneConcurrencyLimit {

    /**
     * Fraction of the latency target above which a response counts as slow; below 1 to allow for
     * the variation of service times.
     */
    private static final double SLOW_OBJECTIVE_PART = 0.5;

    /**
     * Fraction of the limit that a slow response of a busy zone subtracts. Some twenty slow
     * responses, which arrive within half a second, halve the limit.
     */
    private static final double ZONE_LIMIT_CUT = 0.03;

    /**
     * Fraction of the limit that a response that is not slow adds. Without overload, a quarter of
     * the responses is slow; additions and cuts then cancel out.
     */
    private static final double ZONE_LIMIT_GAIN = 0.01;

    /**
     * Mean reported utilization from which slow responses count as overload; below it, some
     * endpoints are faulty rather than all of them busy.
     */
    private static final double ZONE_BUSY_UTILIZATION = 0.8;

    /**
     * Multiple of the typical number of attempts in flight to which a higher limit is reduced when
     * it is cut; a cut from a much higher limit would have no effect. The limit grows only if the
     * attempts in flight are at least the limit divided by this factor.
     */
    private static final double MAX_TYPICAL_FACTOR = 2;

    /**
     * Minimum limit, in attempts. Above 0, because an instance that sends no attempts gets no
     * responses that could raise the limit again.
     */
    private static final double MIN_ZONE_LIMIT = 2;

    /**
     * Weight of one report in the mean utilization, and of one attempt in the typical number of
     * attempts in flight.
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
     * Cuts the limit after a slow response, a timeout or a rejection, if the zone is busy or
     * reports no utilization.
     */
    public void recordOverload() {
        if (meanUtilization < ZONE_BUSY_UTILIZATION) {
            return;
        }
        double bound = Math.min(limit, MAX_TYPICAL_FACTOR * typicalInFlight);
        limit = Math.max(MIN_ZONE_LIMIT, bound * (1 - ZONE_LIMIT_CUT));
    }
}
