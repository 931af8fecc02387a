package sagefall.balancer.api;

/**
 * The load that an endpoint reports about itself. A value that is not reported is NaN.
 *
 * @param inFlight number of requests that the endpoint is processing
 * @param queue number of requests that are queued at the endpoint
 * @param utilization utilization of the endpoint, from 0 to 1
 * @param latencyMillis mean latency of a request at the endpoint, in milliseconds
 * @param rate number of requests that the endpoint serves per second
 * @param errorRate fraction of the endpoint's responses that are errors
 */
public record LoadReport(
        double inFlight,
        double queue,
        double utilization,
        double latencyMillis,
        double rate,
        double errorRate) {}
