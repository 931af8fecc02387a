package sagefall.balancer.health;

import java.util.Arrays;

/**
 * Plain EWMA of latency over all endpoints with the same label value, in units of what is typical:
 * the first guess for an endpoint of which no sample is known.
 */
final class PooledLatencyRatio {

    /** Weight of one answer. */
    private static final double POOL_WEIGHT = 0.1;

    private double[] ratios = {};

    /** The mean ratio for this value of the label; 1 where nothing is known. */
    double ratio(int labelValue) {
        return labelValue >= 0 && labelValue < ratios.length ? ratios[labelValue] : 1;
    }

    /** Takes in the ratio of one answer; a negative label value says nothing. */
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
        int before = ratios.length;
        ratios = Arrays.copyOf(ratios, length);
        Arrays.fill(ratios, before, length, 1);
    }
}
