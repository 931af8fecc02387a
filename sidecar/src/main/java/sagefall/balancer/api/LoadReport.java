package sagefall.balancer.api;

/** A server's own word on its load; NaN where it says nothing. */
public record LoadReport(
        double inFlight,
        double queue,
        double utilization,
        double latencyMillis,
        double rate,
        double errorRate) {}
