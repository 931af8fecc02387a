package sagefall.balancer.api;

/**
 * A server's own report on its load; NaN where it says nothing.
 *
 * @param inFlight requests that it works on
 * @param queue requests that wait in it
 * @param utilization from 0 to 1
 * @param latencyMillis its mean time for a request, in milliseconds
 * @param rate requests a second
 * @param errorRate fraction of its answers that are errors
 */
public record LoadReport(
        double inFlight,
        double queue,
        double utilization,
        double latencyMillis,
        double rate,
        double errorRate) {}
