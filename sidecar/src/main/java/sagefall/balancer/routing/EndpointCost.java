package sagefall.balancer.routing;

import sagefall.balancer.health.ConnectionTrust;
import sagefall.balancer.health.Endpoint;
import sagefall.balancer.health.EndpointHealth;
import sagefall.balancer.health.LoadReportTracker;

/**
 * Computes the cost of sending one more attempt to an endpoint. The cost is the peak EWMA of the
 * latency, multiplied by 1 plus the number of attempts in flight. A high reported utilization
 * raises the cost. The need for a new connection raises the cost where many sidecars share few
 * endpoints.
 */
final class EndpointCost {

    /**
     * Factor by which the need for a new connection multiplies the cost of an endpoint, not
     * counting the set-up time.
     */
    private static final double NEW_CONNECTION = 1.25;

    /**
     * Amount that is added to {@link #NEW_CONNECTION} for a set-up time of one mean latency target.
     * For other set-up times, the amount is proportional.
     */
    private static final double SETUP_COST = 10;

    /**
     * The cost is divided by the difference between this value and the utilization. The value is
     * above 1, so that the divisor stays positive at a utilization of 1.
     */
    private static final double MAX_HEADROOM = 1.1;

    private final SubsetTree subsets;
    private final EndpointHealth health;
    private final double meanTargetMicros;

    EndpointCost(SubsetTree subsets, EndpointHealth health, double meanTargetMicros) {
        this.subsets = subsets;
        this.health = health;
        this.meanTargetMicros = meanTargetMicros;
    }

    /** Returns the current cost of an endpoint; only comparisons between costs are meaningful. */
    double of(long now, Endpoint endpoint) {
        double cost =
                health.latency().ratio(now, endpoint) * (1 + endpoint.concurrency().inFlight());
        LoadReportTracker loadReports = health.loadReports();
        if (loadReports.hasReports()) {
            cost /= MAX_HEADROOM - Math.min(1, loadReports.utilization(now, endpoint));
        }
        ConnectionTrust connections = health.connections();
        if (subsets.isSparse() && !connections.hasTrustedConnection(now, endpoint)) {
            cost *= NEW_CONNECTION + SETUP_COST * connections.setupMicros(now) / meanTargetMicros;
        }
        return cost;
    }
}
