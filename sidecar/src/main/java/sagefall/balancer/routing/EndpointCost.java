package sagefall.balancer.routing;

import sagefall.balancer.health.ConnectionTrust;
import sagefall.balancer.health.Endpoint;
import sagefall.balancer.health.EndpointHealth;
import sagefall.balancer.health.LoadReportTracker;

/**
 * What sending one more attempt to an endpoint costs: peak-EWMA latency x (1 + in flight), more for
 * a busy endpoint and, where there are many sidecars for few endpoints, for a new connection.
 */
final class EndpointCost {

    /** Factor of a new connection while set-ups take no time. */
    private static final double NEW_CONNECTION = 1.25;

    /** What a set-up that takes a latency target adds to the factor of a new connection. */
    private static final double SETUP_COST = 10;

    /** A utilization of 1 leaves this denominator less 1. */
    private static final double MAX_HEADROOM = 1.1;

    private final SubsetTree subsets;
    private final EndpointHealth health;
    private final double targetMicros;

    EndpointCost(SubsetTree subsets, EndpointHealth health, double targetMicros) {
        this.subsets = subsets;
        this.health = health;
        this.targetMicros = targetMicros;
    }

    /** Cost of an endpoint now; only comparisons mean something. */
    double of(long now, Endpoint endpoint) {
        double cost =
                health.latency().ratio(now, endpoint) * (1 + endpoint.concurrency().inFlight());
        LoadReportTracker loadReports = health.loadReports();
        if (loadReports.hasReports()) {
            cost /= MAX_HEADROOM - Math.min(1, loadReports.utilization(now, endpoint));
        }
        ConnectionTrust connections = health.connections();
        if (subsets.isSparse() && !connections.isWarm(now, endpoint)) {
            cost *= NEW_CONNECTION + SETUP_COST * connections.setupMicros(now) / targetMicros;
        }
        return cost;
    }
}
