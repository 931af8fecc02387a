package sagefall.balancer.health;

import sagefall.balancer.admission.ZoneConcurrencyLimits;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.LoadReport;
import sagefall.balancer.api.LoadReportSource;

/**
 * Tracks the utilization of endpoints from their load reports. The reported utilization of an
 * endpoint decays towards the mean over all endpoints. Without this decay, an endpoint whose last
 * report was low would attract traffic even after its load has risen. If other responses had
 * reports, a response without a report is taken as a sign of a busy endpoint.
 */
public final class LoadReportTracker {

    /**
     * Time constant with which a reported utilization decays towards the mean over all endpoints,
     * as a multiple of the mean latency target.
     */
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
     * Returns the estimated current utilization of an endpoint, from 0 to 1; NaN if no endpoint has
     * reported its utilization.
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
     * Records the load report of a response. If the response had no report although other responses
     * had one, the utilization of the endpoint is assumed to be at least halfway between the mean
     * utilization and 1.
     *
     * @param report load report of the response; null, or with a utilization of NaN, if the
     *     response had none
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
