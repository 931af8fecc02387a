package sagefall.balancer.routing;

import sagefall.balancer.health.ConnectionTrust;
import sagefall.balancer.health.Endpoint;
import sagefall.balancer.health.EndpointHealth;
import sagefall.balancer.health.LoadReportTracker;

/**
 * Computes the cost of sending one more attempt to an endpoint: peak EWMA of latency x (1 +
 * attempts in flight), higher for a busy endpoint and, where many sidecars share few endpoints, for
 * a new connection.
 */
final class EndpointCost {

    /** Cost factor of a new connection whose set-up takes no time. */
    private static final double NEW_CONNECTION = 1.25;

    /**
     * Amount that a set-up time of one mean latency target adds to the cost factor of a new
     * connection.
     */
    private static final double SETUP_COST = 10;

    /**
     * The cost is divided by this value less the utilization; above 1, so that the divisor stays
     * positive at a utilization of 1.
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
