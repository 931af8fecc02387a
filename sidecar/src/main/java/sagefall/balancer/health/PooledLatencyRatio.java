package sagefall.balancer.health;

import java.util.Arrays;

/**
 * Holds, for each value of a label (model or zone), the EWMA of the latency of all endpoints with
 * that value, as a multiple of the typical latency. This EWMA contributes to the latency estimate
 * of an endpoint that has no recent sample of its own.
 */
final class PooledLatencyRatio {

    /** Weight of one response in the EWMA. */
    private static final double POOL_WEIGHT = 0.1;

    private double[] ratios = {};

    /**
     * Returns the EWMA for a label value, as a multiple of the typical latency; 1 if there is no
     * sample.
     */
    double ratio(int labelValue) {
        return labelValue >= 0 && labelValue < ratios.length ? ratios[labelValue] : 1;
    }

    /**
     * Records the latency of one response, as a multiple of the typical latency. A negative label
     * value is ignored.
     */
    void record(int labelValue, double ratio) {
        if (labelValue < 0) {
            return;
        }
        if (labelValue >= ratios.length) {
            grow(labelValue + 1);
        }
        double bounded = Math.min(ratio, LatencyEstimator.MAX_RATIO);
        ratios[labelValue] += POOL_WEIGHT * (bounded - ratios[labelValue]);
    }

    private void grow(int length) {
        int oldLength = ratios.length;
        ratios = Arrays.copyOf(ratios, length);
        Arrays.fill(ratios, oldLength, length, 1);
    }
}
