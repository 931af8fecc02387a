package sagefall.balancer.api;

/**
 * The outcome of one attempt.
 *
 * @param requestId id of the attempt's request
 * @param attempt number of the attempt among the attempts of its request, from 0
 * @param endpoint id of the endpoint that the attempt was sent to
 * @param result result of the attempt
 * @param elapsedMicros time from the sending of the attempt, or from the last byte of an upload, to
 *     the end of the attempt
 * @param closed whether the client has got the final response to the request, complete or cut short
 * @param report load report in the endpoint's response; null if there is none
 */
public record AttemptOutcome(
        String requestId,
        int attempt,
        long endpoint,
        AttemptResult result,
        long elapsedMicros,
        boolean closed,
        LoadReport report) {}
