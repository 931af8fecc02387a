package sagefall.balancer.api;

/**
 * How one attempt ended; closed tells that the client has its final answer, or all of it that will
 * ever come. The time is that from its sending, of an upload that from its last byte. The report
 * may be null.
 */
public record AttemptOutcome(
        String requestId,
        int attempt,
        long server,
        AttemptResult result,
        long elapsedMicros,
        boolean closed,
        LoadReport report) {}
