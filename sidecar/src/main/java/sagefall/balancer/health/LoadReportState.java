package sagefall.balancer.health;

/** State of one endpoint for {@link LoadReportTracker}. */
public final class LoadReportState {

    /**
     * Utilization from 0 to 1, as reported or as assumed when a response had no report; NaN before
     * either.
     */
    double utilization = Double.NaN;

    /** Time at which the utilization was set, in microseconds. */
    long reportedAt;

    /** Returns whether a utilization is known for the endpoint. */
    boolean isKnown() {
        return !Double.isNaN(utilization);
    }
}
