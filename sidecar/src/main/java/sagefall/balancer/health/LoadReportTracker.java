package sagefall.balancer.health;

import sagefall.balancer.admission.ZoneConcurrencyLimits;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.LoadReport;
import sagefall.balancer.api.LoadReportSource;

/**
 * Tracks the utilization of endpoints from their load reports. The utilization from a report decays
 * towards the mean of all endpoints. If other responses had reports, a response without one is
 * taken as a sign of a busy endpoint. This prevents an endpoint whose last report was low from
 * attracting traffic after its load has risen.
 */
public final class LoadReportTracker {

    /** Time constant of the decay of a report, in mean latency targets. */
    private static final double REPORT_DECAY_TARGETS = 4;

    /** Weight of one report in the mean of all endpoints. */
    private static final double REPORT_MEAN_WEIGHT = 0.03;

    private final BalancerSettings settings;
    private final ZoneConcurrencyLimits zoneLimits;
    private final double meanTargetMicros;
    private double meanUtilization = Double.NaN;

    LoadReportTracker(BalancerSettings settings, ZoneConcurrencyLimits zoneLimits) {
        this.settings = settings;
        this.zoneLimits = zoneLimits;
        meanTargetMicros = settings.meanLatencyTargetMicros();
    }

    /** Returns whether any endpoint has reported its utilization. */
    public boolean hasReports() {
        return !Double.isNaN(meanUtilization);
    }

    /**
     * Returns the estimated current utilization of an endpoint from 0 to 1; NaN if no endpoint has
     * reported any.
     */
    public double utilization(long now, Endpoint endpoint) {
        LoadReportState state = endpoint.loadReport();
        if (!state.isKnown()) {
            return meanUtilization;
        }
        double decay =
                Math.exp(-(now - state.reportedAt) / (REPORT_DECAY_TARGETS * meanTargetMicros));
        return meanUtilization + (state.utilization - meanUtilization) * decay;
    }

    /**
     * Records the load report of a response. If the response had none, but other responses had, the
     * endpoint is assumed to be at least halfway between the mean utilization and 1.
     *
     * @param report the report; null or with a utilization of NaN if the response had none
     */
    void record(long now, Endpoint endpoint, LoadReport report) {
        if (settings.loadReportSource() != LoadReportSource.ANSWERS) {
            return;
        }
        LoadReportState state = endpoint.loadReport();
        if (report != null && !Double.isNaN(report.utilization())) {
            state.utilization = report.utilization();
            zoneLimits.of(endpoint).recordUtilization(state.utilization);
            recordMean(state.utilization);
            state.reportedAt = now;
        } else if (hasReports()) {
            state.utilization = Math.max(utilization(now, endpoint), (1 + meanUtilization) / 2);
            state.reportedAt = now;
        }
    }

    private void recordMean(double utilization) {
        if (hasReports()) {
            meanUtilization += REPORT_MEAN_WEIGHT * (utilization - meanUtilization);
        } else {
            meanUtilization = utilization;
        }
    }
}
