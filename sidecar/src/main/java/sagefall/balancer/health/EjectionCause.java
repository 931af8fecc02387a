package sagefall.balancer.health;

import sagefall.balancer.api.AttemptResult;
import sagefall.logging.LogLine;

/**
 * Reason for the ejection of an endpoint, in the form that is written to the log.
 *
 * @param reason kind of cause, as a keyword
 * @param detailKey key of the log field with the detail; the key ends in the unit if the detail has
 *     one
 * @param detail observed value
 */
public record EjectionCause(String reason, String detailKey, Object detail) {

    /**
     * Returns the cause for several failed attempts in a row.
     *
     * @param last result of the last attempt
     */
    static EjectionCause failedAttempt(AttemptResult last) {
        return new EjectionCause("consecutive_failures", "last_result", last);
    }

    /**
     * Returns the cause for several failures in a row. The last failure was a response that broke
     * off after it had begun.
     *
     * @param last result of the attempt with that response
     */
    static EjectionCause failedStream(AttemptResult last) {
        return new EjectionCause("stream_failures", "last_result", last);
    }

    /** Returns the cause for an attempt that has had no response for the given time. */
    static EjectionCause noResponse(long elapsedMicros) {
        return new EjectionCause("no_response", "elapsed_ms", elapsedMicros / 1000);
    }

    /** Returns the cause for a half-open endpoint whose trial has no response yet. */
    public static EjectionCause trialUnanswered(int inFlight) {
        return new EjectionCause("trial_unanswered", "in_flight", inFlight);
    }

    /** Adds the fields of the cause to a log line. */
    LogLine addTo(LogLine line) {
        return line.with("reason", reason).with(detailKey, detail);
    }
}
