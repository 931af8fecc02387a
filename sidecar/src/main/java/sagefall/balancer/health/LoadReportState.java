package sagefall.balancer.health;

/** What {@link LoadReportTracker} knows of one endpoint. */
public final class LoadReportState {

    /** Reported utilization from 0 to 1; NaN: nothing was reported. */
    double utilization = Double.NaN;

    /** When the utilization was reported, in microseconds. */
    long reportedAt;

    /** Whether the endpoint has reported its utilization. */
    boolean isKnown() {
        return !Double.isNaN(utilization);
    }
}
