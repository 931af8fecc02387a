package sagefall.balancer.health;

/** State of one endpoint for {@link LoadReportTracker}. */
public final class LoadReportState {

    /**
     * Utilization from 0 to 1: the reported value, or the value that was assumed when a response
     * had no report. NaN while there is no such value.
     */
    double utilization = Double.NaN;

    /** Time at which the utilization was set, in microseconds. */
    long reportedAt;

    /** Returns whether a utilization is known for the endpoint. */
    boolean isKnown() {
        return !Double.isNaN(utilization);
    }
}
