package sagefall.balancer.api;

/**
 * How one attempt ended.
 *
 * @param requestId id of the request that it was an attempt of
 * @param attempt its number among the attempts of its request, from 0
 * @param endpoint id of the endpoint that it was sent to
 * @param result how it ended
 * @param elapsedMicros time from its sending, for an upload from its last byte, to its end
 * @param closed whether the client has its final answer, or all of it that will ever come
 * @param report the endpoint's load report in its answer; null if there is none
 */
public record AttemptOutcome(
        String requestId,
        int attempt,
        long endpoint,
        AttemptResult result,
        long elapsedMicros,
        boolean closed,
        LoadReport report) {}
