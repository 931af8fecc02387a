package sagefall.balancer.health;

/** State of one endpoint for {@link LatencyEstimator}. */
public final class LatencyState {

    /** Peak EWMA of latency as a multiple of the typical latency; NaN before the first sample. */
    double peakRatio = Double.NaN;

    /** Time of the last update of the peak EWMA, in microseconds. */
    long sampledAt;

    /** EWMA of latency as a multiple of the typical latency; 1 before the first response. */
    double meanRatio = 1;

    /** Returns whether there has been any sample. */
    boolean hasSample() {
        return !Double.isNaN(peakRatio);
    }

    /**
     * Returns the EWMA of latency as a multiple of the typical latency; 1 before the first
     * response.
     */
    public double meanRatio() {
        return meanRatio;
    }
}
