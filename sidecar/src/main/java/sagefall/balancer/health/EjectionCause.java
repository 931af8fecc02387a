package sagefall.balancer.health;

import sagefall.balancer.api.AttemptResult;
import sagefall.logging.LogLine;

/**
 * Why an endpoint is ejected, as its log line says it.
 *
 * @param reason word for the kind of cause
 * @param detailKey name of the field with the detail, which ends in its unit if it has one
 * @param detail what was seen
 */
public record EjectionCause(String reason, String detailKey, Object detail) {

    /** Several attempts in a row failed, the last of them so. */
    static EjectionCause failedAttempt(AttemptResult last) {
        return new EjectionCause("consecutive_failures", "last_result", last);
    }

    /** Several answers in a row failed after they had begun, the last of them so. */
    static EjectionCause failedStream(AttemptResult last) {
        return new EjectionCause("stream_failures", "last_result", last);
    }

    /** An attempt is unanswered for so long. */
    static EjectionCause noResponse(long elapsedMicros) {
        return new EjectionCause("no_response", "elapsed_ms", elapsedMicros / 1000);
    }

    /** The trial of a half-open endpoint is not answered yet. */
    public static EjectionCause trialUnanswered(int inFlight) {
        return new EjectionCause("trial_unanswered", "in_flight", inFlight);
    }

    LogLine addTo(LogLine line) {
        return line.with("reason", reason).with(detailKey, detail);
    }
}
