package sagefall.balancer.admission;

/**
 * A limit on this instance's attempts in flight in one zone, moved by the answers of all of its
 * endpoints together: where a fleet is large, no instance sees enough of one endpoint to find that
 * endpoint's limit. In flight rather than by rate, as that rises at once when answers slow down.
 * Both steps are parts of the limit, so instances of unlike traffic give way alike. Harm: in a zone
 * that is busy all over, some are rejected whom a lucky pick would have served.
 */
public final class ZoneConcurrencyLimit {

    /**
     * An answer is slow from this part of its latency objective on: the rest is for the spread of
     * service times.
     */
    private static final double SLOW_OBJECTIVE_PART = 0.5;

    /**
     * Part of the limit that a slow answer of a busy zone takes. Some twenty slow ones, which come
     * in half a second, halve it.
     */
    private static final double ZONE_LIMIT_CUT = 0.03;

    /**
     * Part of the limit that any other answer gives back: at rest a quarter of the answers is slow.
     */
    private static final double ZONE_LIMIT_GAIN = 0.01;

    /**
     * Mean reported utilization from which slow answers mean overload; below it some endpoints are
     * sick, not all busy.
     */
    private static final double ZONE_BUSY_UTILIZATION = 0.8;

    /**
     * The limit is cut from this many times what is typically in flight at the most, so that it
     * binds.
     */
    private static final double MAX_TYPICAL_FACTOR = 2;

    /** Least limit, in attempts: an instance that sends nothing learns nothing. */
    private static final double MIN_ZONE_LIMIT = 2;

    /** Weight of one report in the mean utilization, of one send in what is typically in flight. */
    private static final double ZONE_MEAN_WEIGHT = 0.1;

    private double limit = Double.POSITIVE_INFINITY;
    private double meanUtilization = Double.NaN;
    private double typicalInFlight;
    private int inFlight;

    /** Whether as many attempts are in flight as may be. */
    public boolean isFull() {
        return inFlight >= limit;
    }

    /** An attempt counts as in flight from now on. */
    public void attemptStarted() {
        inFlight++;
        typicalInFlight += ZONE_MEAN_WEIGHT * (inFlight - typicalInFlight);
    }

    /** An attempt is no longer in flight, whatever its outcome says of the zone. */
    public void attemptEnded() {
        inFlight--;
    }

    /** Takes in what an endpoint reports of itself, from 0 to 1. */
    public void recordUtilization(double utilization) {
        if (Double.isNaN(meanUtilization)) {
            meanUtilization = utilization;
        } else {
            meanUtilization += ZONE_MEAN_WEIGHT * (utilization - meanUtilization);
        }
    }

    /** Adjusts the limit to an answer that took this part of its latency objective. */
    public void recordAnswer(double objectivePart) {
        if (objectivePart > SLOW_OBJECTIVE_PART) {
            recordOverload();
        } else if (inFlight >= limit / MAX_TYPICAL_FACTOR) {
            limit *= 1 + ZONE_LIMIT_GAIN;
        }
    }

    /** A slow answer, none, or a full endpoint cuts the limit. Without reports each counts. */
    public void recordOverload() {
        if (meanUtilization < ZONE_BUSY_UTILIZATION) {
            return;
        }
        double bound = Math.min(limit, MAX_TYPICAL_FACTOR * typicalInFlight);
        limit = Math.max(MIN_ZONE_LIMIT, bound * (1 - ZONE_LIMIT_CUT));
    }
}
