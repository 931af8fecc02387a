package sagefall.balancer.health;

import sagefall.balancer.admission.ZoneConcurrencyLimits;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.LoadReport;
import sagefall.balancer.api.LoadReportSource;

/**
 * Utilization of endpoints by their own load reports. A report ages towards the mean of all, and
 * one that is missing where they are usual means busy, not idle. It prevents that an endpoint whose
 * last report was good keeps attracting traffic after it has filled up.
 */
public final class LoadReportTracker {

    /** Time constant of the aging of a report, in latency targets. */
    private static final double REPORT_DECAY_TARGETS = 4;

    /** Weight of one report in the mean of all endpoints. */
    private static final double REPORT_MEAN_WEIGHT = 0.03;

    private final BalancerSettings settings;
    private final ZoneConcurrencyLimits zoneLimits;
    private final double targetMicros;
    private double meanUtilization = Double.NaN;

    LoadReportTracker(BalancerSettings settings, ZoneConcurrencyLimits zoneLimits) {
        this.settings = settings;
        this.zoneLimits = zoneLimits;
        targetMicros = settings.meanTargetLatencyMicros();
    }

    /** Whether any endpoint has reported its utilization. */
    public boolean hasReports() {
        return !Double.isNaN(meanUtilization);
    }

    /** Utilization of an endpoint from 0 to 1 as known now; NaN where none is reported. */
    public double utilization(long now, Endpoint endpoint) {
        LoadReportState state = endpoint.loadReport();
        if (!state.isKnown()) {
            return meanUtilization;
        }
        double decay = Math.exp(-(now - state.reportedAt) / (REPORT_DECAY_TARGETS * targetMicros));
        return meanUtilization + (state.utilization - meanUtilization) * decay;
    }

    /** Takes in the report of an answer; null or NaN where the answer brought none. */
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
