package sagefall.balancer.health;

/** What {@link LatencyEstimator} knows of one endpoint. */
public final class LatencyState {

    /** Peak EWMA of latency in units of what is typical; NaN: no sample. */
    double peakRatio = Double.NaN;

    /** When the peak EWMA was last moved, in microseconds. */
    long sampledAt;

    /** Plain EWMA of latency in units of what is typical. */
    double meanRatio = 1;

    /** Whether there has been any sample. */
    boolean hasSample() {
        return !Double.isNaN(peakRatio);
    }

    /** Plain EWMA of latency in units of what is typical; 1 before the first answer. */
    public double meanRatio() {
        return meanRatio;
    }
}
